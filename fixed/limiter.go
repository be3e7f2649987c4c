package fixed

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	defaultConcurrency = 64
	defaultQueueLimit  = 1000
	retryAfter         = pomelo.Millis(1000)
)

// Limiter implements pomelo.ConcurrencyLimiter with a fixed concurrency limit and a bounded first-in first-out queue.
type Limiter struct {
	clock       pomelo.Clock
	mu          sync.Mutex
	concurrency int
	queueLimit  int
	running     int
	waiting     []chan struct{}
}

// New returns a limiter that lets 64 calls run, unless the upstream announces its slots, and 1000 calls wait, unless an option says otherwise.
func New(clock pomelo.Clock, opts ...func(*Limiter)) *Limiter {
	l := &Limiter{clock: clock, concurrency: defaultConcurrency, queueLimit: defaultQueueLimit}
	for _, o := range opts {
		o(l)
	}
	return l
}

// WithQueueLimit limits the number of waiting calls.
func WithQueueLimit(n int) func(*Limiter) {
	return func(l *Limiter) { l.queueLimit = n }
}

// Acquire waits for a free slot until the call's deadline; the error is a *pomelo.Fault of a call that did not run.
func (l *Limiter) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	admitted, err := l.acquireOrQueue()
	if err != nil {
		return nil, err
	}
	if admitted == nil {
		return &permit{limiter: l}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - l.clock.Now()).Duration())
	defer cancel()
	select {
	case <-admitted:
		return &permit{limiter: l}, nil
	case <-ctx.Done():
		l.cancelWait(admitted)
		return nil, pomelo.NewFault(pomelo.KindDeadline, "the request's time ran out while it waited", "allow more time, or come back when load is lower")
	}
}

// SetCapacity sets the concurrency limit to the slots that the upstream announced, if any.
func (l *Limiter) SetCapacity(slots, _ int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots > 0 {
		l.concurrency = slots
	}
}

// ShedThreshold is 1 while the queue is full and 0 otherwise.
func (l *Limiter) ShedThreshold(string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= l.queueLimit {
		return 1
	}
	return 0
}

// acquireOrQueue takes a slot, or queues the call and returns the channel that is closed when it gets one.
func (l *Limiter) acquireOrQueue() (chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running < l.concurrency {
		l.running++
		return nil, nil
	}
	if len(l.waiting) >= l.queueLimit {
		f := pomelo.NewFault(pomelo.KindOverload, "the upstream is at its limit and its queue is full", "come back after the given time")
		f.RetryAfter = retryAfter
		return nil, f
	}
	admitted := make(chan struct{})
	l.waiting = append(l.waiting, admitted)
	return admitted, nil
}

// cancelWait removes a call from the queue; a slot that it got at the same moment is released.
func (l *Limiter) cancelWait(admitted chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiting {
		if w == admitted {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	l.release()
}

// release passes a slot to the first waiting call or frees it; mu must be locked.
func (l *Limiter) release() {
	if len(l.waiting) == 0 {
		l.running--
		return
	}
	next := l.waiting[0]
	l.waiting = l.waiting[1:]
	close(next)
}

type permit struct {
	limiter *Limiter
}

func (p *permit) Release(pomelo.Millis, bool) {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.limiter.release()
}

// SetWaiting does nothing: a call keeps its slot while it waits for its sub-calls.
func (p *permit) SetWaiting(bool) {}
