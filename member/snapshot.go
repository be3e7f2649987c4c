package member

import (
	"cmp"
	"slices"

	"github.com/pomeloworks/pomelo"
)

// snapshot is an immutable index of the members, so that lookups on the hot path of a call take no lock.
type snapshot struct {
	self         pomelo.Member
	all          []pomelo.Member
	serving      map[string][]pomelo.Member
	fingerprints map[string]pomelo.Member
}

// rebuild replaces the snapshot; the registry's mutex must be held.
func (r *Registry) rebuild() {
	s := &snapshot{
		self:         r.self,
		all:          make([]pomelo.Member, 0, len(r.others)+1),
		serving:      map[string][]pomelo.Member{},
		fingerprints: make(map[string]pomelo.Member, len(r.others)+1),
	}
	s.add(r.self)
	for _, other := range r.others {
		s.add(other.member)
	}
	slices.SortFunc(s.all[1:], func(a, b pomelo.Member) int { return cmp.Compare(a.VM, b.VM) })
	r.snapshot.Store(s)
}

func (s *snapshot) add(m pomelo.Member) {
	s.all = append(s.all, m)
	s.fingerprints[m.Fingerprint] = m
	if m.Service != "" && !m.Draining {
		s.serving[m.Service] = append(s.serving[m.Service], m)
	}
}
