package cutoff

import (
	"math"

	"github.com/pomeloworks/pomelo/rank"
)

const (
	// decayFactor multiplies the counts after each window.
	decayFactor = 0.6
	// The lowest importance being served is the first that, with those below it, exceeds this share of the served calls; two shares leave a margin between the floor and the ceiling.
	floorShare   = 0.05
	ceilingShare = 0.2
	// minRefused is the number of refusals that shows that less important calls are being refused and not just absent.
	minRefused = 0.5
)

// levelCounts counts the calls served and refused at each importance, over all accounts, with exponential decay.
type levelCounts struct {
	served  [rank.Levels]float64
	refused [rank.Levels]float64
}

func (c *levelCounts) decay(windows float64) {
	factor := math.Pow(decayFactor, windows)
	for l := range rank.Levels {
		c.served[l] *= factor
		c.refused[l] *= factor
	}
}

// ceiling returns the upper end of the lowest importance that is being served; no cutoff may exceed it.
func (c *levelCounts) ceiling() float64 {
	return float64(c.lowestServed(ceilingShare)+1) / rank.Levels
}

// floor returns the lower end of the lowest importance that is being served if less important calls are being refused, and 0 otherwise.
func (c *levelCounts) floor() float64 {
	l := c.lowestServed(floorShare)
	if c.served[l] == 0 {
		return 0
	}
	refused := 0.0
	for _, n := range c.refused[:l] {
		refused += n
	}
	if refused < minRefused {
		return 0
	}
	return float64(l) / rank.Levels
}

// lowestServed returns the first importance that, with those below it, makes up more than the given share of the served calls.
func (c *levelCounts) lowestServed(share float64) int {
	sum := 0.0
	for _, n := range c.served {
		sum += n
	}
	below := 0.0
	for l, n := range c.served {
		below += n
		if n > 0 && below > share*sum {
			return l
		}
	}
	return rank.Levels - 1
}
