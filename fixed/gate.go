package fixed

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	defaultConcurrency = 64
	defaultQueue       = 1000
	retryAfter         = pomelo.Millis(1000)
)

// Gate implements pomelo.Gate with a fixed limit and a bounded first-in first-out queue.
type Gate struct {
	clock   pomelo.Clock
	mu      sync.Mutex
	limit   int
	queue   int
	running int
	waiting []chan struct{}
}

// New returns a gate that lets 64 calls run and 1000 wait until told otherwise.
func New(clock pomelo.Clock, opts ...func(*Gate)) *Gate {
	g := &Gate{clock: clock, limit: defaultConcurrency, queue: defaultQueue}
	for _, o := range opts {
		o(g)
	}
	return g
}

// WithQueue bounds how many calls wait.
func WithQueue(n int) func(*Gate) {
	return func(g *Gate) { g.queue = n }
}

// Acquire waits for a place until the call's deadline; the error is a *pomelo.Fault of a call that did not run.
func (g *Gate) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	turn, err := g.join()
	if err != nil {
		return nil, err
	}
	if turn == nil {
		return &pass{gate: g}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - g.clock.Now()).Duration())
	defer cancel()
	select {
	case <-turn:
		return &pass{gate: g}, nil
	case <-ctx.Done():
		g.abandon(turn)
		return nil, pomelo.NewFault(pomelo.KindDeadline, "the request's time ran out while it waited", "allow more time, or come back when load is lower")
	}
}

// SetCapacity caps the limit at what the upstream announced.
func (g *Gate) SetCapacity(slots, _ int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots > 0 {
		g.limit = slots
	}
}

// ShedThreshold is 1 while the queue is full and 0 otherwise.
func (g *Gate) ShedThreshold(string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) >= g.queue {
		return 1
	}
	return 0
}

func (g *Gate) join() (chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < g.limit {
		g.running++
		return nil, nil
	}
	if len(g.waiting) >= g.queue {
		f := pomelo.NewFault(pomelo.KindOverload, "the upstream is at its limit and its queue is full", "come back after the given time")
		f.RetryAfter = retryAfter
		return nil, f
	}
	turn := make(chan struct{})
	g.waiting = append(g.waiting, turn)
	return turn, nil
}

// abandon leaves the queue; a turn that came in the same moment is passed on.
func (g *Gate) abandon(turn chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiting {
		if w == turn {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
	g.release()
}

func (g *Gate) release() {
	if len(g.waiting) == 0 {
		g.running--
		return
	}
	next := g.waiting[0]
	g.waiting = g.waiting[1:]
	close(next)
}

type pass struct {
	gate *Gate
}

func (p *pass) Release(pomelo.Millis, bool) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.release()
}

// SetWaiting changes nothing: a call holds its place until its end.
func (p *pass) SetWaiting(bool) {}
