package queue

import (
	"math"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/time/rate"
)

const (
	// After the end of a warm-up the allowed rate doubles at the beginning of each rampStep, in milliseconds, for rampTime; without it the waiting calls would all start at once.
	rampStep = pomelo.Millis(100)
	rampTime = pomelo.Millis(500)
)

// ramp limits the starts at a cold upstream, and increases the limit stepwise after its warm-up.
type ramp struct {
	warmup pomelo.Warmup
	// limiter spaces the starts; nil while no limit applies. factor is its multiple of the warm-up's rate.
	limiter *rate.Limiter
	factor  float64
}

// set replaces the warm-up; the zero value ends the present one, if it has not ended by itself.
func (r *ramp) set(now pomelo.Millis, w pomelo.Warmup) {
	if w.PerSecond <= 0 {
		r.warmup.Until = min(r.warmup.Until, now)
		return
	}
	if !r.isActive(now) {
		r.limiter = nil
	}
	r.warmup = w
	r.factor = 0
}

// isActive reports whether a limit applies.
func (r *ramp) isActive(now pomelo.Millis) bool {
	return r.warmup.PerSecond > 0 && now < r.warmup.Until+rampTime
}

// isCold reports whether the warm-up has not ended.
func (r *ramp) isCold(now pomelo.Millis) bool {
	return r.warmup.PerSecond > 0 && now < r.warmup.Until
}

// perSecond returns the allowed starts a second, infinite without a limit.
func (r *ramp) perSecond(now pomelo.Millis) float64 {
	if !r.isActive(now) {
		return math.Inf(1)
	}
	return r.warmup.PerSecond * r.factorAt(now)
}

func (r *ramp) factorAt(now pomelo.Millis) float64 {
	if r.isCold(now) {
		return 1
	}
	return math.Exp2(float64((now-r.warmup.Until)/rampStep + 1))
}

// nextChange returns the time at which the rate changes next.
func (r *ramp) nextChange(now pomelo.Millis) pomelo.Millis {
	if r.isCold(now) {
		return r.warmup.Until
	}
	return r.warmup.Until + ((now-r.warmup.Until)/rampStep+1)*rampStep
}

// allows reports whether a call may start now, given the starts of the last second.
func (r *ramp) allows(now pomelo.Millis, recent *window) bool {
	if !r.isActive(now) {
		return true
	}
	r.advance(now)
	if r.isCold(now) && recent.wait(now, r.windowLimit()) > 0 {
		return false
	}
	return r.limiter.TokensAt(timeOf(now)) >= 1
}

// recordStart counts a start that allows has permitted.
func (r *ramp) recordStart(now pomelo.Millis) {
	if r.isActive(now) {
		r.limiter.AllowN(timeOf(now), 1)
	}
}

// windowLimit is the number of starts in any second while the upstream is cold.
func (r *ramp) windowLimit() int {
	return max(1, int(r.warmup.PerSecond))
}

// wait returns the time, in milliseconds, until the start of a call with so many others ahead of it: at the present rate, but no later than the end of the limit.
func (r *ramp) wait(now pomelo.Millis, ahead int, recent *window) pomelo.Millis {
	if !r.isActive(now) {
		return 0
	}
	r.advance(now)
	wait := waitForTokens(r.limiter, now, ahead)
	if r.isCold(now) {
		// The limiter is full again once the window has room.
		later := float64(max(0, ahead+1-r.limiter.Burst())) / r.warmup.PerSecond * millisPerSecond
		if full := recent.wait(now, r.windowLimit()); full > 0 {
			wait = max(wait, full+pomelo.Millis(later))
		}
	}
	return min(wait, r.warmup.Until+rampTime-now)
}

// advance applies the rate of the present step to the limiter.
func (r *ramp) advance(now pomelo.Millis) {
	factor := r.factorAt(now)
	if r.limiter != nil && factor == r.factor {
		return
	}
	r.factor = factor
	perSecond := r.warmup.PerSecond * factor
	if r.limiter == nil {
		r.limiter = rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
		return
	}
	r.limiter.SetLimitAt(timeOf(now), rate.Limit(perSecond))
	r.limiter.SetBurstAt(timeOf(now), burstOf(perSecond))
}
