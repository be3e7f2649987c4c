package load

import (
	"context"
	"fmt"

	"github.com/pomeloworks/pomelo"
)

const progressInterval = pomelo.Millis(2000)

// progress writes a line every progressInterval until the context is done.
func (r *Runner) progress(ctx context.Context, started pomelo.Millis) {
	var last step
	for r.clock.Sleep(ctx, progressInterval) == nil {
		now := r.totals()
		fmt.Fprintf(
			r.output, "t=%ds of %ds offered=%d whole=%d refused=%d failed=%d in_flight=%d\n",
			(r.clock.Now()-started)/millisPerSecond, r.plan.Duration/millisPerSecond,
			now.offered-last.offered, now.complete-last.complete, now.refused-last.refused, now.failed-last.failed,
			len(r.slots),
		)
		last = now
	}
}

// totals sums all streams.
func (r *Runner) totals() step {
	var sum step
	for _, t := range r.stats {
		t.mutex.Lock()
		for _, s := range t.timeline.steps {
			sum.add(s)
		}
		t.mutex.Unlock()
	}
	return sum
}
