package gate

import "github.com/pomeloworks/pomelo"

type permit struct {
	limiter *Limiter
	started pomelo.Millis
	waiting bool
	ended   bool
}

func (l *Limiter) newPermit() *permit {
	return &permit{limiter: l, started: l.clock.Now()}
}

// Release releases the call's capacity and updates the estimates and the concurrency limit from its times.
func (p *permit) Release(selfTime pomelo.Millis, complete bool) {
	l := p.limiter
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	duration := now - p.started
	if l.settings.IsDisabled(pomelo.FeatureSelfTime) {
		selfTime = duration
	}
	l.estimator.observe(now, duration, selfTime)
	l.limit.Observe(now, selfTime, complete, l.running)
	p.ended = true
	l.occupied--
	if !p.waiting {
		l.running--
	}
	l.tick(now)
	l.dispatch(now)
}

// SetWaiting excludes the call from the concurrency limit while it waits for its sub-calls, but keeps its slot. The call counts again as soon as they have ended, even if that exceeds the limit.
func (p *permit) SetWaiting(waiting bool) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.ended || waiting == p.waiting || l.settings.IsDisabled(pomelo.FeatureSelfTime) {
		return
	}
	p.waiting = waiting
	if !waiting {
		l.running++
		return
	}
	l.running--
	l.dispatch(l.clock.Now())
}
