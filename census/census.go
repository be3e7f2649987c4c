package census

import (
	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	// expiredRetention is the time for which a member stays usable after its record expired: the store may refuse a live member for a long time, and calls soon detect a dead member.
	expiredRetention = pomelo.Millis(30_000)
	// carryPeriod is the time after the first list of an epoch for which a member without a new record counts as alive: until no process can act by a list of the earlier epoch, and some time for the last record to be read.
	carryPeriod = pomelo.MaxMemberProofAge + 500
)

// Census is the member list across the store's epochs; its times are monotonic, and it is not safe for concurrent use.
type Census struct {
	vm      string
	entries map[string]entry
	expired map[string]expiredEntry
	// current are the members of entries ordered by VM, or nil until they are next asked for; once isShared, they are replaced instead of changed.
	current  []pomelo.Member
	isShared bool
	// position is the newest state of the store that the list shows, and watched the revision up to which it shows all changes.
	position pomelo.Position
	watched  pomelo.Revision
	listed   bool
	// knownRevision is the revision that was reached in the earlier epoch: a record of the copy up to it is older than what is known.
	knownRevision pomelo.Revision
	carryUntil    pomelo.Millis
	proven        bool
	provenAt      pomelo.Millis
	// earlierProofAt is the last proof in the epoch in which this member's own record was last read.
	earlierProofAt pomelo.Millis
}

// New returns an empty list for the member of this VM.
func New(vm string) *Census {
	return &Census{vm: vm, entries: map[string]entry{}, expired: map[string]expiredEntry{}}
}

// Position returns the newest state of the store that the list shows.
func (c *Census) Position() pomelo.Position {
	return c.position
}

// Watched returns the state of the store up to which the list shows all changes.
func (c *Census) Watched() pomelo.Position {
	return pomelo.Position{Epoch: c.position.Epoch, Revision: c.watched}
}

// Replace applies a complete list, read at a state of the store that is not in an earlier epoch, and reports whether any member changed.
func (c *Census) Replace(records []pomelo.MemberRecord, at pomelo.Position, now pomelo.Millis) bool {
	changed := false
	if c.listed && at.Epoch > c.position.Epoch {
		changed = c.beginEpoch(now)
	}
	c.listed = true
	c.position = at
	c.watched = at.Revision
	c.current = nil
	listed := map[string]bool{}
	for _, r := range records {
		if c.isOutdated(r) {
			continue
		}
		listed[r.Member.VM] = true
		changed = c.set(r.Member) || changed
	}
	for vm, e := range c.entries {
		if !listed[vm] && !e.carried {
			changed = c.expire(vm, now) || changed
		}
	}
	return changed
}

// beginEpoch keeps every known member as carried, and ends the proofs of the earlier epoch.
func (c *Census) beginEpoch(now pomelo.Millis) bool {
	if e := c.entries[c.vm]; !e.carried {
		c.earlierProofAt = c.provenAt
	}
	c.proven = false
	c.provenAt = 0
	c.knownRevision = c.position.Revision
	c.carryUntil = now + carryPeriod
	for vm, e := range c.entries {
		// What a process owned alone in the earlier epoch has to be established anew.
		e.member.SoleOwner = false
		e.carried = true
		c.entries[vm] = e
	}
	c.current = nil
	return len(c.entries) > 0
}

// isOutdated reports whether a record of the copy is older than what was known before the store returned.
func (c *Census) isOutdated(r pomelo.MemberRecord) bool {
	return r.Member.Epoch < c.position.Epoch && r.Revision <= c.knownRevision
}

// Apply applies one change, in the order of revisions, and reports whether any member changed.
func (c *Census) Apply(r pomelo.MemberRecord, now pomelo.Millis) bool {
	c.position.Revision = max(c.position.Revision, r.Revision)
	e, known := c.entries[r.Member.VM]
	if known && e.carried && (r.Deleted || r.Member.Epoch < c.position.Epoch) {
		return false
	}
	if r.Deleted {
		return c.expire(r.Member.VM, now)
	}
	return c.set(r.Member)
}

// Advance records that all changes up to the revision have been applied.
func (c *Census) Advance(revision pomelo.Revision) {
	c.watched = max(c.watched, revision)
	c.position.Revision = max(c.position.Revision, revision)
}

func (c *Census) set(m pomelo.Member) bool {
	if m.Epoch < c.position.Epoch {
		m.SoleOwner = false
	}
	delete(c.expired, m.VM)
	e, known := c.entries[m.VM]
	c.entries[m.VM] = entry{member: m}
	if known && e.member == m {
		return false
	}
	c.replaceCurrent(m)
	return true
}

// expire removes a member and reports whether it was known; one that was not draining stays usable for expiredRetention.
func (c *Census) expire(vm string, now pomelo.Millis) bool {
	e, ok := c.entries[vm]
	if !ok {
		return false
	}
	delete(c.entries, vm)
	c.removeCurrent(vm)
	if !e.member.Draining {
		c.expired[vm] = expiredEntry{member: e.member, expiredAt: now}
	}
	return true
}

// DropCarried expires the members that have not announced themselves again, once a proof shows that they had the time to, and reports whether there were any.
func (c *Census) DropCarried(now pomelo.Millis) bool {
	if !c.proven || c.provenAt < c.carryUntil {
		return false
	}
	changed := false
	for vm, e := range c.entries {
		if e.carried {
			changed = c.expire(vm, now) || changed
		}
	}
	return changed
}

// DropExpired removes members that expired longer than expiredRetention ago, and reports whether there were any.
func (c *Census) DropExpired(now pomelo.Millis) bool {
	before := len(c.expired)
	for vm, e := range c.expired {
		if now-e.expiredAt > expiredRetention {
			delete(c.expired, vm)
		}
	}
	return len(c.expired) != before
}
