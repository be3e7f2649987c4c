package view

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// memberIndex is an immutable index of the usable members; they are ordered by VM.
type memberIndex struct {
	all           []pomelo.Member
	byFingerprint map[string]int
	byService     map[string][]int
}

func newMemberIndex(all []pomelo.Member) *memberIndex {
	index := &memberIndex{all: all, byFingerprint: make(map[string]int, len(all)), byService: map[string][]int{}}
	for i := range all {
		index.byService[all[i].Service] = append(index.byService[all[i].Service], i)
		index.byFingerprint[all[i].Fingerprint] = i
	}
	return index
}

// serving returns the members that serve the service for a node with this record of its own, which it places last.
func (x *memberIndex) serving(service string, self pomelo.Member) []pomelo.Member {
	all := x.byService[service]
	out := make([]pomelo.Member, 0, len(all)+1)
	var draining []pomelo.Member
	add := func(m pomelo.Member) {
		switch {
		case !m.Draining:
			out = append(out, m)
		case m.HasUsableUpstream():
			draining = append(draining, m)
		}
	}
	for _, i := range all {
		if x.all[i].VM != self.VM {
			add(x.all[i])
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

// servingLists are the results of Serving for one index and one record of this node's own; v.mu guards the map.
type servingLists struct {
	index     *memberIndex
	self      pomelo.Member
	byService map[string][]pomelo.Member
}

// members returns the index of the usable members; after a change it is built when it is first needed.
func (v *View) members() *memberIndex {
	if x := v.index.Load(); x != nil {
		return x
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	x := v.index.Load()
	if x == nil {
		x = newMemberIndex(v.census.Usable())
		v.index.Store(x)
	}
	return x
}

// Self returns this node's own record.
func (v *View) Self() pomelo.Member {
	return v.self()
}

// Serving returns the members that serve the service and are not draining; if there are none, it returns the draining members that still have an upstream. This node's own record is always up to date. The list never changes and must not be modified.
func (v *View) Serving(service string) []pomelo.Member {
	self := v.self()
	v.servingMu.Lock()
	defer v.servingMu.Unlock()
	l := &v.serving
	if x := v.members(); l.index != x || l.self != self {
		*l = servingLists{index: x, self: self, byService: map[string][]pomelo.Member{}}
	}
	out, ok := l.byService[service]
	if !ok {
		out = l.index.serving(service, self)
		l.byService[service] = out
	}
	return out
}

// All returns every known member, this node first.
func (v *View) All() []pomelo.Member {
	self := v.self()
	out := []pomelo.Member{self}
	for _, m := range v.members().all {
		if m.VM != self.VM {
			out = append(out, m)
		}
	}
	return out
}

// Current returns the members whose records are in the store, or were there before it returned from a copy. The list never changes and must not be modified.
func (v *View) Current() []pomelo.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.census.Current()
}

// ByFingerprint returns the member whose certificate has this fingerprint.
func (v *View) ByFingerprint(fingerprint string) (pomelo.Member, bool) {
	x := v.members()
	i, ok := x.byFingerprint[fingerprint]
	if !ok {
		return pomelo.Member{}, false
	}
	return x.all[i], true
}

// hashed is a member's position in a list with the hash of its VM.
type hashed struct {
	hash  uint64
	index int
}

// orderByHash returns the positions of the members by the hash of their VM: all members agree on the order, and unlike the order of names it spreads the readers.
func orderByHash(members []pomelo.Member) []hashed {
	out := make([]hashed, len(members))
	for i := range members {
		out[i] = hashed{hash: xxhash.Sum64String(members[i].VM), index: i}
	}
	slices.SortFunc(out, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	return out
}
