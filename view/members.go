package view

import "github.com/pomeloworks/pomelo"

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
		case m.UpstreamID != "" && !m.UpstreamLeft:
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

// Current returns the members whose records are in the store, or were there before it returned from a copy.
func (v *View) Current() []pomelo.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.census.Current()
}

// ByFingerprint returns the member whose certificate has this fingerprint.
func (v *View) ByFingerprint(fingerprint string) (pomelo.Member, bool) {
	m, ok := v.index.Load().byFingerprint[fingerprint]
	return m, ok
}
