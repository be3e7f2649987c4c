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

// pacer spaces the starts of calls at an upstream that states a limit; the queue's mutex guards it.
type pacer struct {
	// limiter is nil without a limit.
	limiter *rate.Limiter
}

func (p *pacer) set(now pomelo.Millis, r pomelo.RateStatement) {
	if !r.Limited {
		p.limiter = nil
		return
	}
	perSecond := rate.Limit(max(r.PerSecond, minStartRate))
	burst := max(1, int(r.PerSecond*burstPeriod))
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(perSecond, burst)
		return
	}
	p.limiter.SetLimitAt(timeOf(now), perSecond)
	p.limiter.SetBurstAt(timeOf(now), burst)
}

func (p *pacer) isLimited() bool {
	return p.limiter != nil
}

// perSecond returns the allowed starts a second; it is meaningful only with a limit.
func (p *pacer) perSecond() float64 {
	return float64(p.limiter.Limit())
}

// tryStart reports whether a call may start now, and counts the start if so.
func (p *pacer) tryStart(now pomelo.Millis) bool {
	return !p.isLimited() || p.limiter.AllowN(timeOf(now), 1)
}

// wait returns the time, in milliseconds, until the start of a call with so many others ahead of it; 0 without a limit.
func (p *pacer) wait(now pomelo.Millis, ahead int) pomelo.Millis {
	if !p.isLimited() {
		return 0
	}
	missing := float64(ahead+1) - p.limiter.TokensAt(timeOf(now))
	return pomelo.Millis(math.Ceil(max(0, missing) / p.perSecond() * millisPerSecond))
}

func timeOf(m pomelo.Millis) time.Time {
	return time.UnixMilli(int64(m))
}
