package place

import (
	"math/rand/v2"

	"github.com/pomeloworks/pomelo"
)

// order draws members of a list at random without copying or shuffling the list.
type order struct {
	members []pomelo.Member
	// all and near are permutations of the indexes of all members and of those in the node's own zone.
	all  []int32
	near []int32
}

func newOrder(members []pomelo.Member, zone string) *order {
	o := &order{members: members, all: make([]int32, len(members))}
	for i := range members {
		o.all[i] = int32(i)
		if members[i].AvailabilityZone == zone {
			o.near = append(o.near, int32(i))
		}
	}
	return o
}

// isOf reports whether the order is of this very list, whose memory is not reused while the order refers to it.
func (o *order) isOf(members []pomelo.Member) bool {
	return len(members) == len(o.members) && len(members) > 0 && &members[0] == &o.members[0]
}

// draw returns the member at position i of a random order; it must be called with 0, 1, 2 and so on. Any permutation may be drawn from, so that none has to be restored.
func (o *order) draw(random *rand.Rand, permutation []int32, i int) *pomelo.Member {
	j := i + random.IntN(len(permutation)-i)
	permutation[i], permutation[j] = permutation[j], permutation[i]
	return &o.members[permutation[i]]
}
