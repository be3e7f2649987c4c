package cutoff

import (
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

const (
	minWindowLength = pomelo.Millis(100)
	// An account's window with fewer calls than minSamples stays open, but not longer than maxWindowLength.
	minSamples      = 10
	maxWindowLength = pomelo.Millis(500)
	// maxCutoff admits a share of the most important calls, since only admitted calls show when the cutoff can be lowered.
	maxCutoff = 0.995
	// initialStep is the first decrease of a cutoff after a refusal; each further window without a refusal doubles it.
	initialStep = 0.005
	maxSteps    = 10
	// damping reduces each increase, since calls that were sent before it are still refused for a while.
	damping = 0.5
)

// Cutoff adapts the accounts' cutoffs to the refusals in windows of 100 to 500 ms. It is not safe for concurrent use, and the caller passes the time in.
type Cutoff struct {
	windowEnd pomelo.Millis
	accounts  map[string]*account
	counts    levelCounts
	floor     float64
	ceiling   float64
}

type account struct {
	windowStart    pomelo.Millis
	position       float64
	step           float64
	arrivedByLevel [rank.Levels]float64
	arrivals       float64
	refused        float64
}

// New returns a cutoff that refuses nothing.
func New() *Cutoff {
	return &Cutoff{accounts: map[string]*account{}, ceiling: 1}
}

// Of returns the account's cutoff, from 0 (nothing is refused) to 1. It is bounded by the lowest importance that is being served to any account.
func (c *Cutoff) Of(name string) float64 {
	position := 0.0
	if a := c.accounts[name]; a != nil {
		position = a.position
	}
	return min(max(position, c.floor), c.ceiling)
}

// RecordArrival counts a call of the account.
func (c *Cutoff) RecordArrival(name string, importance int) {
	a := c.accounts[name]
	if a == nil {
		a = &account{windowStart: c.windowEnd - minWindowLength, step: initialStep}
		c.accounts[name] = a
	}
	a.arrivedByLevel[importance]++
	a.arrivals++
}

// RecordServed counts a call that was admitted.
func (c *Cutoff) RecordServed(importance int) {
	c.counts.served[importance]++
}

// RecordRefused counts a call that RecordArrival counted and that was refused for overload.
func (c *Cutoff) RecordRefused(name string, importance int) {
	c.counts.refused[importance]++
	if a := c.accounts[name]; a != nil {
		a.refused++
	}
}

// Advance closes the windows that have ended by now; while the upstream is saturated, no cutoff is lowered.
func (c *Cutoff) Advance(now pomelo.Millis, saturated bool) {
	if now < c.windowEnd {
		return
	}
	c.counts.decay(float64(now-c.windowEnd)/float64(minWindowLength) + 1)
	c.windowEnd = now + minWindowLength
	c.floor = c.counts.floor()
	c.ceiling = c.counts.ceiling()
	for name, a := range c.accounts {
		a.advance(now, saturated)
		if a.position == 0 && a.arrivals == 0 {
			delete(c.accounts, name)
		}
	}
}

func (a *account) advance(now pomelo.Millis, saturated bool) {
	length := now - a.windowStart
	if a.arrivals < minSamples && length < maxWindowLength {
		return
	}
	switch {
	case a.refused > 0:
		a.raise(damping * min(a.refused, a.arrivals) * a.arrivals / max(a.arrivals, minSamples))
		a.step = initialStep
	case !saturated:
		a.lower(int(length / minWindowLength))
	}
	*a = account{windowStart: now, position: a.position, step: a.step}
}

func (a *account) lower(steps int) {
	for range min(steps, maxSteps) {
		a.position = max(0, a.position-a.step)
		a.step = min(2*a.step, 1)
	}
}

// raise moves the cutoff above the given number of the calls that arrived, which are taken as evenly spread within each level of importance.
func (a *account) raise(calls float64) {
	for l := min(int(a.position*rank.Levels), rank.Levels-1); l < rank.Levels && calls > 0; l++ {
		top := float64(l+1) / rank.Levels
		n := a.arrivedByLevel[l]
		if calls < n {
			a.position = min(maxCutoff, a.position+calls/n*(top-a.position))
			return
		}
		calls -= n
		a.position = min(maxCutoff, top)
	}
}
