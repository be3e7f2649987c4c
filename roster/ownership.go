package roster

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// maxPastGenerations is the number of past generations that are retained for OwnedSince.
const maxPastGenerations = 64

// maxMarks is the maximum number of marks; a resource whose mark was dropped counts as owned for no time.
const maxMarks = 512

// longOwned is a duration in milliseconds that is long enough to earn any burst.
const longOwned = pomelo.Millis(1 << 40)

// minTicksPerTTL is the minimum number of ticks per ownership TTL.
const minTicksPerTTL = 10

// pastGeneration is a past generation; takenAt is the time from which this node could act on the resources that it newly owned in that generation.
type pastGeneration struct {
	roster  pomelo.Roster
	takenAt pomelo.Millis
}

// Owner returns the member that owns the resource in the known generation.
func (m *Machine) Owner(resource string) (pomelo.Member, bool) {
	return owner(m.known.Members, resource)
}

// PreviousOwner returns the member that owned the resource in the previous generation.
func (m *Machine) PreviousOwner(resource string) (pomelo.Member, bool) {
	return owner(m.known.Previous, resource)
}

// StableSince returns a wall-clock time since which this member has become the owner of no further resource; it is now while a change is in progress.
func (m *Machine) StableSince(now pomelo.Millis) pomelo.Millis {
	if !m.effective {
		return now
	}
	out := m.effectiveAt
	for _, t := range m.removed {
		out = max(out, t.at)
	}
	for _, t := range m.acks {
		out = max(out, t.at)
	}
	return out
}

// IsOwner reports whether this member may act on the resource at now.
func (m *Machine) IsOwner(now pomelo.Millis, resource string) bool {
	if m.resigned || !m.owns(m.known.Members, resource) {
		return false
	}
	if now < m.confirmedUntil {
		return m.effective || m.mayTakeOver(resource)
	}
	return now < m.carriedUntil && m.owns(m.known.Previous, resource)
}

// OwnedSince returns when this member became the owner of the resource, which it has owned since without a break; 0 if it is not the owner.
func (m *Machine) OwnedSince(now pomelo.Millis, resource string) pomelo.Millis {
	if !m.IsOwner(now, resource) {
		return 0
	}
	if !m.owns(m.known.Previous, resource) {
		return m.takenAt(resource)
	}
	return m.ownedSinceEarlier(resource)
}

// OwnedFor returns for how many milliseconds of monotonic time, at least, this member has owned the resource; 0 if it is not the owner.
func (m *Machine) OwnedFor(now pomelo.Millis, resource string) pomelo.Millis {
	mark, ok := m.monotonicMarks[m.OwnedSince(now, resource)]
	if !ok {
		return 0
	}
	return m.monotonic - mark
}

// markMonotonic records the monotonic time at a wall-clock time from which resources may be owned; the tick in progress does not count towards the time owned.
func (m *Machine) markMonotonic(now pomelo.Millis) {
	if _, ok := m.monotonicMarks[now]; ok {
		return
	}
	if len(m.monotonicMarks) >= maxMarks {
		m.monotonicMarks = map[pomelo.Millis]pomelo.Millis{}
	}
	m.monotonicMarks[now] = m.monotonic + m.ownershipTTL/minTicksPerTTL
	if m.known.Generation <= 1 {
		// Before the first generation no process can have owned a resource.
		m.monotonicMarks[now] = m.monotonic - longOwned
	}
}

// mayTakeOver reports whether no other process can still own the resource: its previous owner is this member, is removed, or has itself acknowledged the generation in which it is not the owner.
func (m *Machine) mayTakeOver(resource string) bool {
	o, ok := owner(m.known.Previous, resource)
	if !ok || processIDOf(o) == processIDOf(m.self) {
		return true
	}
	t, ok := m.releasedAt(o)
	return ok && m.monotonic-t.monotonic >= minMargin
}

func (m *Machine) releasedAt(member pomelo.Member) (moment, bool) {
	if t, ok := m.removed[processIDOf(member)]; ok {
		return t, true
	}
	t, ok := m.acks[processIDOf(member)]
	return t, ok
}

func (m *Machine) takenAt(resource string) pomelo.Millis {
	o, ok := owner(m.known.Previous, resource)
	if !ok {
		return m.effectiveAt
	}
	if t, ok := m.releasedAt(o); ok {
		return max(t.at, m.adoptedAt)
	}
	return m.effectiveAt
}

// ownedSinceEarlier returns when this member became the owner, going back over consecutive generations in which it owned the resource.
func (m *Machine) ownedSinceEarlier(resource string) pomelo.Millis {
	return m.ownedSinceBefore(resource, len(m.pastGenerations), m.adoptedAt, m.known.Generation)
}

// PreviouslyOwnedSince returns when this member became the owner of a resource that it owned in the previous generation; false if it did not own it.
func (m *Machine) PreviouslyOwnedSince(resource string) (pomelo.Millis, bool) {
	n := len(m.pastGenerations) - 1
	if n < 0 {
		return 0, false
	}
	t := m.pastGenerations[n]
	if t.roster.Generation != m.known.Generation-1 || !m.owns(t.roster.Members, resource) {
		return 0, false
	}
	if !m.owns(t.roster.Previous, resource) {
		return t.takenAt, true
	}
	return m.ownedSinceBefore(resource, n, t.takenAt, t.roster.Generation), true
}

// ownedSinceBefore goes back over the first n past generations, the last of which precedes the given generation, and returns when this member became the owner.
func (m *Machine) ownedSinceBefore(resource string, n int, since pomelo.Millis, generation int64) pomelo.Millis {
	for i := n - 1; i >= 0; i-- {
		t := m.pastGenerations[i]
		if t.roster.Generation != generation-1 || !m.owns(t.roster.Members, resource) {
			return since
		}
		since = t.takenAt
		generation--
		if !m.owns(t.roster.Previous, resource) {
			return since
		}
	}
	return since
}

func (m *Machine) recordGeneration(now pomelo.Millis) {
	takenAt := now
	if m.effective {
		takenAt = m.effectiveAt
	}
	m.pastGenerations = append(m.pastGenerations, pastGeneration{roster: m.known, takenAt: takenAt})
	if len(m.pastGenerations) > maxPastGenerations {
		m.pastGenerations = m.pastGenerations[1:]
	}
}

func (m *Machine) owns(members []pomelo.Member, resource string) bool {
	o, ok := owner(members, resource)
	return ok && processIDOf(o) == processIDOf(m.self)
}

// owner selects the owner by rendezvous hashing over VMs, so that a change of members moves only the resources of members that were added or removed.
func owner(members []pomelo.Member, resource string) (pomelo.Member, bool) {
	var best pomelo.Member
	var maxHash uint64
	for i, member := range members {
		h := xxhash.Sum64String(resource + "\x00" + member.VM)
		if i == 0 || h > maxHash {
			best = member
			maxHash = h
		}
	}
	return best, len(members) > 0
}
