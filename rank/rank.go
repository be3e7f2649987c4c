package rank

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

const (
	// Levels is the number of importance levels.
	Levels = 10
	// depthBits is the number of bits of an order that hold the depth, which orders the calls of one root.
	depthBits  = 6
	maxDepth   = 1<<depthBits - 1
	subCallBit = 1 << 63
)

// Rank is a call's place in the shedding order: calls of lower importance are shed first, and within one importance those of lower order.
type Rank struct {
	Importance int
	// Order holds, from the highest bit down: whether the call is a sub-call, the hash of its root, and its depth.
	Order uint64
	hash  uint64
}

// Of returns the rank of a call from its importance, root id and depth; an importance out of range is clamped.
func Of(c pomelo.Call) Rank {
	h := xxhash.Sum64String(c.RootID)
	r := Rank{Importance: min(max(c.Importance, 0), Levels-1), hash: h}
	r.Order = h>>(depthBits+1)<<depthBits | uint64(min(max(c.Depth, 0), maxDepth))
	if c.Depth > 0 {
		r.Order |= subCallBit
	}
	return r
}

// Position returns the place of the call's root among all root requests, from 0 (shed first) to 1.
func (r Rank) Position() float64 {
	return (float64(r.Importance) + float64(r.hash)/(math.MaxUint64+1.0)) / Levels
}
