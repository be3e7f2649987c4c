package pool

import "github.com/pomeloworks/pomelo"

const (
	yieldFallWeight = 0.1
	// yieldRiseWeight exceeds yieldFallWeight: expecting too few tokens refuses requests, expecting too many costs messages.
	yieldRiseWeight = 0.2
	// minYield bounds the time between the token requests of a node in a large fleet.
	minYield = 0.02
)

// yield is the share of a shard's tokens that this node finds there, from 0 to 1; the rest goes to other nodes that ask as well.
// The load it answers is an account over its rate at many nodes: a shard is asked again when this node's share of its rate makes up a token, not at each request.
type yield float64

// update learns from an answer to a request to a shard that would have had the tokens of alone if no other node had asked.
func (y *yield) update(alone float64, g pomelo.Grant) {
	if alone <= 0 {
		return
	}
	found := min(1, (g.Tokens+g.TokensLeft)/alone)
	weight := yieldFallWeight
	if found > float64(*y) || g.TokensLeft >= oneToken {
		weight = yieldRiseWeight
	}
	weight *= min(1, alone)
	*y = max(minYield, *y+yield(weight*(found-float64(*y))))
}
