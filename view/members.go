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
func (s *members) set(m pomelo.Member) bool {
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
		changed = s.set(m) || changed
	}
	for vm := range s.current {
		if !here[vm] {
			changed = s.lapse(vm, now) || changed
		}
	}
	return changed
}

// usable lists the current members and those that lapsed a short while ago, by VM.
func (s *members) usable() []pomelo.Member {
	out := make([]pomelo.Member, 0, len(s.current)+len(s.lapsed))
	for _, m := range s.current {
		out = append(out, m)
	}
	for _, l := range s.lapsed {
		out = append(out, l.member)
	}
	slices.SortFunc(out, func(a, b pomelo.Member) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// forget drops those that lapsed longer ago than lingerFor, and reports whether there were any.
func (s *members) forget(now pomelo.Millis) bool {
	before := len(s.lapsed)
	for vm, l := range s.lapsed {
		if now-l.at > lingerFor {
			delete(s.lapsed, vm)
		}
	}
	return len(s.lapsed) != before
}

// roll is the usable members ready for lookups; it does not change.
type roll struct {
	all          []pomelo.Member
	services     map[string][]pomelo.Member
	fingerprints map[string]pomelo.Member
}

func newRoll(all []pomelo.Member) *roll {
	r := &roll{all: all, services: map[string][]pomelo.Member{}, fingerprints: map[string]pomelo.Member{}}
	for _, m := range all {
		r.services[m.Service] = append(r.services[m.Service], m)
		r.fingerprints[m.Fingerprint] = m
	}
	return r
}

// Self returns this node's own record.
func (v *View) Self() pomelo.Member {
	return v.self()
}

// Serving returns the members that serve the service and are not draining, or those whose node is about to stop if there are no others; this node's own record is always up to date.
func (v *View) Serving(service string) []pomelo.Member {
	self := v.self()
	all := v.roll.Load().services[service]
	out := make([]pomelo.Member, 0, len(all)+1)
	var stopping []pomelo.Member
	consider := func(m pomelo.Member) {
		switch {
		case !m.Draining:
			out = append(out, m)
		case m.UpstreamID != "":
			stopping = append(stopping, m)
		}
	}
	for _, m := range all {
		if m.VM != self.VM {
			consider(m)
		}
	}
	if self.Service == service {
		consider(self)
	}
	if len(out) == 0 {
		return stopping
	}
	return out
}

// All returns every known member, this node first.
func (v *View) All() []pomelo.Member {
	self := v.self()
	out := []pomelo.Member{self}
	for _, m := range v.roll.Load().all {
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

// ByFingerprint finds the member whose certificate has this fingerprint.
func (v *View) ByFingerprint(fingerprint string) (pomelo.Member, bool) {
	m, ok := v.roll.Load().fingerprints[fingerprint]
	return m, ok
}
