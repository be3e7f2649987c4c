package queue

import "github.com/pomeloworks/pomelo"

// ticket is one call that waits; its channel takes the verdict once.
type ticket struct {
	call    pomelo.Call
	arrived pomelo.Millis
	run     pomelo.Millis
	number  uint64
	verdict chan *pomelo.Fault
	entered bool
	done    bool
}

// before orders calls: work that serves admitted requests, then the account's and the route's importance, then arrival.
func (t *ticket) before(o *ticket) bool {
	if a, b := t.call.Depth > 0, o.call.Depth > 0; a != b {
		return a
	}
	if t.call.Rank != o.call.Rank {
		return t.call.Rank > o.call.Rank
	}
	if t.call.Importance != o.call.Importance {
		return t.call.Importance > o.call.Importance
	}
	return t.number < o.number
}

// latest is the last moment at which the call can start and still end in time.
func (t *ticket) latest() pomelo.Millis {
	return t.call.Deadline - t.run
}
