package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// ring returns the members ordered by the hashes of their VM names.
func ring(members pomelo.Membership) []pomelo.Member {
	all := slices.Clone(members.All())
	slices.SortFunc(all, func(a, b pomelo.Member) int {
		if c := cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)); c != 0 {
			return c
		}
		return cmp.Compare(a.VM, b.VM)
	})
	return all
}

// ringIndex returns this node's index on the ring.
func ringIndex(members pomelo.Membership) int {
	self := members.Self().VM
	return slices.IndexFunc(ring(members), func(m pomelo.Member) bool { return m.VM == self })
}

// neighbours returns the members 1, 2, 4, ... positions ahead on the ring, so that a change reaches n nodes in about log2(n) steps.
func neighbours(members pomelo.Membership) []pomelo.Member {
	all := ring(members)
	self := ringIndex(members)
	var out []pomelo.Member
	for d := 1; d < len(all); d *= 2 {
		out = append(out, all[(self+d)%len(all)])
	}
	return out
}
