package gate

import "github.com/pomeloworks/pomelo"

type pass struct {
	gate    *Gate
	began   pomelo.Millis
	waiting bool
	ended   bool
}

func (g *Gate) pass() *pass {
	return &pass{gate: g, began: g.clock.Now()}
}

// Release frees the place and learns from the call.
func (p *pass) Release(own pomelo.Millis, whole bool) {
	g := p.gate
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	took := now - p.began
	if g.off.IsDisabled(pomelo.FeatureSelfTime) {
		own = took
	}
	g.pace.end(now, took, own)
	g.limit.Observe(now, own, whole, g.running)
	p.ended = true
	g.held--
	if !p.waiting {
		g.running--
	}
	g.tick(now)
	g.dispatch(now)
}

// SetWaiting frees the place while the call waits for its sub-calls, but not the upstream's slot; the place is taken back at once when they have ended.
func (p *pass) SetWaiting(waiting bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.ended || waiting == p.waiting || g.off.IsDisabled(pomelo.FeatureSelfTime) {
		return
	}
	p.waiting = waiting
	if !waiting {
		g.running++
		return
	}
	g.running--
	g.dispatch(g.clock.Now())
}
