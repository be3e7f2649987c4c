package perhop

import (
	"context"
	"net/http"

	"github.com/pomeloworks/pomelo"
)

// Retrier implements pomelo.Handler; it retries a failed call regardless of the retries that other hops have made.
type Retrier struct {
	next       pomelo.Handler
	clock      pomelo.Clock
	maxRetries int
}

// New returns a retrier that sends each call to next once, and up to maxRetries times more.
func New(next pomelo.Handler, clock pomelo.Clock, maxRetries int) *Retrier {
	return &Retrier{next: next, clock: clock, maxRetries: maxRetries}
}

// Handle ignores the call's own retries and returns them unspent.
func (r *Retrier) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	unspent := c.RetriesLeft
	c.RetriesLeft = 0
	a := r.next.Handle(ctx, c)
	for n := 0; n < r.maxRetries && r.mayRetry(ctx, c, a); n++ {
		a = r.next.Handle(ctx, c)
	}
	a.RetriesLeft = unspent
	return a
}

// mayRetry reports whether the call failed and a retry can't run a non-idempotent call twice.
func (r *Retrier) mayRetry(ctx context.Context, c pomelo.Call, a pomelo.Answer) bool {
	if ctx.Err() != nil || r.clock.Now() >= c.Deadline {
		return false
	}
	if a.Refusal == nil {
		return a.Status >= http.StatusInternalServerError && !c.NonIdempotent
	}
	return a.Refusal.Ran == pomelo.RanNo || !c.NonIdempotent
}
