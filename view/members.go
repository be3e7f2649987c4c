package view

import (
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// members are the records of the nodes by VM, and those that lapsed a short while ago.
type members struct {
	current  map[string]pomelo.Member
	lapsed   map[string]lapsed
	proven   bool
	provenAt pomelo.Millis
}

type lapsed struct {
	member pomelo.Member
	at     pomelo.Millis
}

func newMembers() members {
	return members{current: map[string]pomelo.Member{}, lapsed: map[string]lapsed{}}
}

func (s *members) prove(start pomelo.Millis) {
	s.proven = true
	s.provenAt = max(s.provenAt, start)
}

// set reports whether anything changed.
func (s *members) set(m pomelo.Member, _ pomelo.Millis) bool {
	delete(s.lapsed, m.VM)
	if s.current[m.VM] == m {
		return false
	}
	s.current[m.VM] = m
	return true
}

// lapse keeps a member that did not say that it leaves for a while.
func (s *members) lapse(vm string, now pomelo.Millis) bool {
	m, ok := s.current[vm]
	if !ok {
		return false
	}
	delete(s.current, vm)
	if !m.Draining {
		s.lapsed[vm] = lapsed{member: m, at: now}
	}
	return true
}

func (s *members) replace(all []pomelo.Member, now pomelo.Millis) bool {
	changed := false
	here := map[string]bool{}
	for _, m := range all {
		here[m.VM] = true
		changed = s.set(m, now) || changed
	}
	for vm := range s.current {
		if !here[vm] {
			changed = s.lapse(vm, now) || changed
		}
	}
	return changed
}

// usable lists the current members and those that lapsed less than lingerFor ago, by VM.
func (s *members) usable(now pomelo.Millis) []pomelo.Member {
	out := make([]pomelo.Member, 0, len(s.current)+len(s.lapsed))
	for _, m := range s.current {
		out = append(out, m)
	}
	for vm, l := range s.lapsed {
		if now-l.at > lingerFor {
			delete(s.lapsed, vm)
			continue
		}
		out = append(out, l.member)
	}
	slices.SortFunc(out, func(a, b pomelo.Member) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// Self returns this node's own record.
func (v *View) Self() pomelo.Member {
	return v.self()
}

// Serving returns the members that serve the service and are not draining; this node's own record is always up to date.
func (v *View) Serving(service string) []pomelo.Member {
	var out []pomelo.Member
	for _, m := range v.All() {
		if m.Service == service && !m.Draining {
			out = append(out, m)
		}
	}
	return out
}

// All returns every known member, this node included.
func (v *View) All() []pomelo.Member {
	self := v.self()
	v.mu.Lock()
	all := v.members.usable(v.clock.Steady())
	v.mu.Unlock()
	for i := range all {
		if all[i].VM == self.VM {
			all[i] = self
			return all
		}
	}
	return append(all, self)
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

// ByFingerprint finds the member whose certificate has this fingerprint.
func (v *View) ByFingerprint(fingerprint string) (pomelo.Member, bool) {
	for _, m := range v.All() {
		if m.Fingerprint == fingerprint {
			return m, true
		}
	}
	return pomelo.Member{}, false
}
