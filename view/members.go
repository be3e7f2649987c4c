package view

import (
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// members holds the member records by VM, and the records that expired within expiredRetention.
type members struct {
	current     map[string]pomelo.Member
	expired     map[string]expiredMember
	confirmed   bool
	confirmedAt pomelo.Millis
}

// expiredMember is a member whose record left the store at expiredAt, by the monotonic clock.
type expiredMember struct {
	member    pomelo.Member
	expiredAt pomelo.Millis
}

func newMembers() members {
	return members{current: map[string]pomelo.Member{}, expired: map[string]expiredMember{}}
}

// confirm records that a store read that began at start showed the current members.
func (s *members) confirm(start pomelo.Millis) {
	s.confirmed = true
	s.confirmedAt = max(s.confirmedAt, start)
}

// set stores a member's record and reports whether it changed.
func (s *members) set(m pomelo.Member) bool {
	delete(s.expired, m.VM)
	if s.current[m.VM] == m {
		return false
	}
	s.current[m.VM] = m
	return true
}

// expire removes a current member and reports whether it was known; it retains a member that was not draining, since that one may still be alive.
func (s *members) expire(vm string, now pomelo.Millis) bool {
	m, ok := s.current[vm]
	if !ok {
		return false
	}
	delete(s.current, vm)
	if !m.Draining {
		s.expired[vm] = expiredMember{member: m, expiredAt: now}
	}
	return true
}

// replace applies a complete list of the members, expires all others and reports whether anything changed.
func (s *members) replace(all []pomelo.Member, now pomelo.Millis) bool {
	changed := false
	listed := map[string]bool{}
	for _, m := range all {
		listed[m.VM] = true
		changed = s.set(m) || changed
	}
	for vm := range s.current {
		if !listed[vm] {
			changed = s.expire(vm, now) || changed
		}
	}
	return changed
}

// usable returns the current members and the expired ones that are still retained, ordered by VM.
func (s *members) usable() []pomelo.Member {
	out := make([]pomelo.Member, 0, len(s.current)+len(s.expired))
	for _, m := range s.current {
		out = append(out, m)
	}
	for _, e := range s.expired {
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b pomelo.Member) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// dropExpired removes members that expired longer than expiredRetention ago, and reports whether there were any.
func (s *members) dropExpired(now pomelo.Millis) bool {
	before := len(s.expired)
	for vm, e := range s.expired {
		if now-e.expiredAt > expiredRetention {
			delete(s.expired, vm)
		}
	}
	return len(s.expired) != before
}

// memberIndex is an immutable index of the usable members.
type memberIndex struct {
	all           []pomelo.Member
	byService     map[string][]pomelo.Member
	byFingerprint map[string]pomelo.Member
}

func newMemberIndex(all []pomelo.Member) *memberIndex {
	index := &memberIndex{all: all, byService: map[string][]pomelo.Member{}, byFingerprint: map[string]pomelo.Member{}}
	for _, m := range all {
		index.byService[m.Service] = append(index.byService[m.Service], m)
		index.byFingerprint[m.Fingerprint] = m
	}
	return index
}

// Self returns this node's own record.
func (v *View) Self() pomelo.Member {
	return v.self()
}

// Serving returns the members that serve the service and are not draining; if there are none, it returns the draining members that still have an upstream. This node's own record is always up to date.
func (v *View) Serving(service string) []pomelo.Member {
	self := v.self()
	all := v.index.Load().byService[service]
	out := make([]pomelo.Member, 0, len(all)+1)
	var draining []pomelo.Member
	add := func(m pomelo.Member) {
		switch {
		case !m.Draining:
			out = append(out, m)
		case m.UpstreamID != "":
			draining = append(draining, m)
		}
	}
	for _, m := range all {
		if m.VM != self.VM {
			add(m)
		}
	}
	if self.Service == service {
		add(self)
	}
	if len(out) == 0 {
		return draining
	}
	return out
}

// All returns every known member, this node first.
func (v *View) All() []pomelo.Member {
	self := v.self()
	out := []pomelo.Member{self}
	for _, m := range v.index.Load().all {
		if m.VM != self.VM {
			out = append(out, m)
		}
	}
	return out
}

// Current returns the members whose records are in the store.
func (v *View) Current() []pomelo.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]pomelo.Member, 0, len(v.members.current))
	for _, m := range v.members.current {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b pomelo.Member) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// ByFingerprint returns the member whose certificate has this fingerprint.
func (v *View) ByFingerprint(fingerprint string) (pomelo.Member, bool) {
	m, ok := v.index.Load().byFingerprint[fingerprint]
	return m, ok
}
