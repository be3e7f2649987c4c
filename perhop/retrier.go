package perhop

import (
	"context"
	"net/http"

	"github.com/pomeloworks/pomelo"
)

// Retrier implements pomelo.Handler: it repeats a failed call whatever other hops have spent.
type Retrier struct {
	next  pomelo.Handler
	clock pomelo.Clock
	limit int
}

// New returns a retrier that sends each call to next up to limit extra times.
func New(next pomelo.Handler, clock pomelo.Clock, limit int) *Retrier {
	return &Retrier{next: next, clock: clock, limit: limit}
}

// Handle ignores the call's own retry budget and gives it back untouched.
func (r *Retrier) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	budget := c.RetriesLeft
	c.RetriesLeft = 0
	a := r.next.Handle(ctx, c)
	for n := 0; n < r.limit && r.again(ctx, c, a); n++ {
		a = r.next.Handle(ctx, c)
	}
	a.RetriesLeft = budget
	return a
}

// again asks for another attempt only where it can't run a non-idempotent request twice.
func (r *Retrier) again(ctx context.Context, c pomelo.Call, a pomelo.Answer) bool {
	if ctx.Err() != nil || r.clock.Now() >= c.Deadline {
		return false
	}
	if a.Refusal == nil {
		return a.Status >= http.StatusInternalServerError && !c.NonIdempotent
	}
	return a.Refusal.Ran == pomelo.RanNo || !c.NonIdempotent
}
