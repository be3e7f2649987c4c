package tiers

import (
	"math"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

const (
	// minShare is the share of requests of any importance that is admitted, as a fraction of the mean: the operators rank kinds of requests, and none of them may be cut off.
	minShare = 0.3
	// halfLife is the time, in milliseconds, in which the weight of a request in the estimates halves.
	halfLife = 1_000.0
	// window is the time, in milliseconds, after which the supply is estimated again.
	window = pomelo.Millis(100)
	// initialGrowth is the share by which the supply is taken to be larger after a window in which every admitted request got a token, so that the admitted requests find out when there is more; it grows by growthFactor with each further such window.
	initialGrowth = 0.003
	growthFactor  = 1.3
	// minServed is the count of served requests below which there is nothing to divide: tokens are missing because no owner grants any, and not because others use them.
	minServed = 1.0
	// maxWindows bounds the windows that one call ends.
	maxWindows = 50
	// margin is the share of the tokens of the last second that is given out while tokens are short; the rest keeps important requests from finding none by chance.
	margin = 0.9
)

// Tiers divides the tokens of one account at one node among its requests; it is not safe for concurrent use.
//
// The load that it answers is an account that sends a multiple of its rate for seconds: tokens that go to whichever request comes first leave its orders refused beside its page views. While the supply covers the demand all requests are admitted.
type Tiers struct {
	// arrived and served are counts of requests with exponential decay, by importance and in all.
	arrived   [rank.Levels]float64
	served    float64
	decayedAt pomelo.Millis
	// supply is the expected count of tokens, on the scale of served; +Inf while none has been short.
	supply    float64
	growth    float64
	windowEnd pomelo.Millis
	short     bool
}

// New returns a Tiers that admits all requests.
func New() *Tiers {
	return &Tiers{supply: math.Inf(1)}
}

// Admits reports whether a request of this importance may ask for a token; draw is a random number from 0 to 1.
func (t *Tiers) Admits(now pomelo.Millis, importance int, draw float64) bool {
	t.advance(now)
	t.arrived[importance]++
	return draw < t.share(importance)
}

// share returns the share of the requests of an importance that the supply covers: minShare of the mean for each, and the rest for the most important ones first.
func (t *Tiers) share(importance int) float64 {
	demand := t.demand()
	if t.supply >= demand {
		return 1
	}
	least := minShare * t.supply / demand
	left := t.supply - least*demand
	for l := rank.Levels - 1; l > importance; l-- {
		left -= (1 - least) * t.arrived[l]
	}
	return min(1, least+max(0, left)/max(t.arrived[importance], 1))
}

func (t *Tiers) demand() float64 {
	n := 0.0
	for _, a := range t.arrived {
		n += a
	}
	return n
}

// RecordServed counts an admitted request that has got a token.
func (t *Tiers) RecordServed() {
	t.served++
}

// RecordRefused counts an admitted request that was refused since it found no token.
func (t *Tiers) RecordRefused() {
	t.short = true
}

// advance decays the counts and, at the end of a window, adapts the supply to whether tokens were short in it.
func (t *Tiers) advance(now pomelo.Millis) {
	factor := math.Exp2(-float64(now-t.decayedAt) / halfLife)
	t.decayedAt = now
	t.served *= factor
	for l := range t.arrived {
		t.arrived[l] *= factor
	}
	if now < t.windowEnd {
		return
	}
	windows := min(1+int((now-t.windowEnd)/window), maxWindows)
	t.windowEnd = now + window
	if t.short {
		t.short = false
		t.growth = initialGrowth
		t.supply = min(t.supply, margin*t.served)
		if t.served < minServed {
			t.supply = math.Inf(1)
		}
		return
	}
	for range windows {
		t.supply *= 1 + t.growth
		t.growth *= growthFactor
	}
	if t.supply >= t.demand() {
		t.supply = math.Inf(1)
	}
}
