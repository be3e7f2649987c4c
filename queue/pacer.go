package queue

import (
	"math"
	"time"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/time/rate"
)

const (
	// burstPeriod is the time, in seconds, whose starts may come at once.
	burstPeriod = 0.25
	// minStartRate is the lowest rate of starts a second: only a response shows that an upstream accepts more again.
	minStartRate    = 0.2
	millisPerSecond = 1000
)

// pacer spaces the starts of calls at an upstream that states a limit or is cold; the lower of both limits applies. The queue's mutex guards it.
type pacer struct {
	// stated is nil while the upstream states no limit.
	stated *rate.Limiter
	warmup ramp
	recent window
}

func (p *pacer) set(now pomelo.Millis, r pomelo.RateStatement) {
	if !r.Limited {
		p.stated = nil
		return
	}
	perSecond := rate.Limit(max(r.PerSecond, minStartRate))
	burst := burstOf(r.PerSecond)
	if p.stated == nil {
		p.stated = rate.NewLimiter(perSecond, burst)
		return
	}
	p.stated.SetLimitAt(timeOf(now), perSecond)
	p.stated.SetBurstAt(timeOf(now), burst)
}

// setWarmup limits the starts until the upstream is no longer cold; starts of the last second count.
func (p *pacer) setWarmup(now pomelo.Millis, w pomelo.Warmup) {
	p.warmup.set(now, w)
}

func (p *pacer) isLimited(now pomelo.Millis) bool {
	return p.stated != nil || p.warmup.isActive(now)
}

// perSecond returns the allowed starts a second; it is infinite without a limit.
func (p *pacer) perSecond(now pomelo.Millis) float64 {
	perSecond := p.warmup.perSecond(now)
	if p.stated != nil {
		perSecond = min(perSecond, float64(p.stated.Limit()))
	}
	return perSecond
}

// tryStart reports whether a call may start now, and counts the start if so.
func (p *pacer) tryStart(now pomelo.Millis) bool {
	if !p.warmup.allows(now, &p.recent) {
		return false
	}
	if p.stated != nil && !p.stated.AllowN(timeOf(now), 1) {
		return false
	}
	p.warmup.recordStart(now)
	p.recent.add(now)
	return true
}

// wait returns the time, in milliseconds, until the start of a call with so many others ahead of it; 0 without a limit.
func (p *pacer) wait(now pomelo.Millis, ahead int) pomelo.Millis {
	wait := p.warmup.wait(now, ahead, &p.recent)
	if p.stated == nil {
		return wait
	}
	return max(wait, waitForTokens(p.stated, now, ahead))
}

// retryIn returns the time, in milliseconds, after which the next start is allowed, or at which the rate next changes.
func (p *pacer) retryIn(now pomelo.Millis) pomelo.Millis {
	wait := p.wait(now, 0)
	if p.warmup.isActive(now) {
		wait = min(wait, p.warmup.nextChange(now)-now)
	}
	return max(1, wait)
}

func burstOf(perSecond float64) int {
	return max(1, int(perSecond*burstPeriod))
}

func waitForTokens(l *rate.Limiter, now pomelo.Millis, ahead int) pomelo.Millis {
	missing := float64(ahead+1) - l.TokensAt(timeOf(now))
	return pomelo.Millis(math.Ceil(max(0, missing) / float64(l.Limit()) * millisPerSecond))
}

func timeOf(m pomelo.Millis) time.Time {
	return time.UnixMilli(int64(m))
}
