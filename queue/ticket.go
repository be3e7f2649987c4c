package queue

import (
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

// ticket is one call that waits; its channel takes the verdict once.
type ticket struct {
	call    pomelo.Call
	rank    rank.Rank
	arrived pomelo.Millis
	run     pomelo.Millis
	number  uint64
	verdict chan *pomelo.Fault
	done    bool
}

// before orders calls: work that serves admitted requests, then importance, then the order of the roots, which is the same at every service.
func (t *ticket) before(o *ticket) bool {
	if a, b := t.call.Depth > 0, o.call.Depth > 0; a != b {
		return a
	}
	if t.rank.Importance != o.rank.Importance {
		return t.rank.Importance > o.rank.Importance
	}
	if t.rank.Order != o.rank.Order {
		return t.rank.Order > o.rank.Order
	}
	return t.number < o.number
}

// latest is the last moment at which the call can start and still end in time.
func (t *ticket) latest() pomelo.Millis {
	return t.call.Deadline - t.run
}
