package tree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

const (
	// readers is the number of members that watch the store.
	readers = 2
	// fanout is the number of members that request from one member: two levels reach two thousand members.
	fanout = 32
	// maxParents bounds the members that a node asks at the same time.
	maxParents = 4
)

// Tree is the order of the members, as one member sees it; those that are draining come last.
type Tree struct {
	order []pomelo.Member
	// rank is the member's place in the order; a member that is not listed yet comes last.
	rank   int
	listed bool
}

// New returns the tree of the members for the member on the VM.
func New(members []pomelo.Member, vm string) *Tree {
	t := &Tree{}
	hashes := make(map[string]uint64, len(members))
	for _, m := range members {
		t.order = append(t.order, m)
		hashes[m.VM] = xxhash.Sum64String(m.VM)
	}
	slices.SortFunc(t.order, func(a, b pomelo.Member) int {
		if a.Draining != b.Draining {
			return drainingLast(a)
		}
		return cmp.Compare(hashes[a.VM], hashes[b.VM])
	})
	t.rank = slices.IndexFunc(t.order, func(m pomelo.Member) bool { return m.VM == vm })
	t.listed = t.rank >= 0
	if !t.listed {
		t.rank = len(t.order)
	}
	return t
}

func drainingLast(a pomelo.Member) int {
	if a.Draining {
		return 1
	}
	return -1
}

// Size returns the number of members.
func (t *Tree) Size() int {
	return len(t.order)
}

// IsReader reports whether the member watches the store.
func (t *Tree) IsReader() bool {
	return t.listed && t.rank < readers
}

// FirstReader returns the reader whose proofs the other reader takes over while they are recent; false for the first one and for members that are no readers.
func (t *Tree) FirstReader() (pomelo.Member, bool) {
	if !t.IsReader() || t.rank == 0 {
		return pomelo.Member{}, false
	}
	return t.order[0], true
}

// Parents returns the members to request from, in the order of preference: two by the member's place, so that children are spread over them, and then the first ones of the order. All but the readers' come before the member in the order, so that no two members wait for each other.
func (t *Tree) Parents() []pomelo.Member {
	var out []pomelo.Member
	add := func(i int) {
		if i < 0 || i >= len(t.order) || i == t.rank || len(out) == maxParents {
			return
		}
		if i > t.rank && !t.IsReader() {
			return
		}
		if !slices.ContainsFunc(out, func(m pomelo.Member) bool { return m.VM == t.order[i].VM }) {
			out = append(out, t.order[i])
		}
	}
	first := t.rank / fanout
	second := t.rank % 2
	add(first + second)
	add(first + 1 - second)
	for i := range readers + maxParents {
		add(i)
	}
	return out
}
