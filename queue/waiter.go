package queue

import (
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

// waiter is one call that entered the queue; decision receives nil when the call is admitted, or its refusal, exactly once.
type waiter struct {
	call     pomelo.Call
	rank     rank.Rank
	arrived  pomelo.Millis
	runTime  pomelo.Millis
	sequence uint64
	decision chan *pomelo.Fault
	decided  bool
}

// before orders calls: sub-calls of admitted requests first, then by importance, then by the hash of the root, which orders them the same at every service.
func (w *waiter) before(o *waiter) bool {
	if a, b := w.call.Depth > 0, o.call.Depth > 0; a != b {
		return a
	}
	if w.rank.Importance != o.rank.Importance {
		return w.rank.Importance > o.rank.Importance
	}
	if w.rank.Order != o.rank.Order {
		return w.rank.Order > o.rank.Order
	}
	return w.sequence < o.sequence
}

// latestStart returns the last time at which the call can start and still end before its deadline.
func (w *waiter) latestStart() pomelo.Millis {
	return w.call.Deadline - w.runTime
}
