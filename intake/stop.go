package intake

import (
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
)

// stop is the state of a planned stop; the zero value limits nothing.
type stop struct {
	// end is the time by which requests must be answered, or 0.
	end atomic.Int64
	// refusing is set once new requests are refused.
	refusing atomic.Bool
}

// StopBy makes the intake refuse as not run what can't be expected to be answered by the given time, and bounds the deadlines of the rest.
func (i *Intake) StopBy(end pomelo.Millis) {
	i.stop.end.Store(int64(end))
}

// RefuseNew makes the intake refuse new requests as not run; sub-calls of calls that run beside this node are still taken.
func (i *Intake) RefuseNew() {
	i.stop.refusing.Store(true)
}

// limit returns the refusal of a call that arrived at the given time, or bounds its deadline.
func (s *stop) limit(c *pomelo.Call, arrivedAt pomelo.Millis) *pomelo.Fault {
	end := pomelo.Millis(s.end.Load())
	if end == 0 {
		return nil
	}
	if c.Depth == 0 && (s.refusing.Load() || !c.CanEndBy(end, arrivedAt)) {
		return pomelo.NewFault(pomelo.KindDraining, "the node stops", "send the request to another node")
	}
	c.Deadline = min(c.Deadline, end)
	return nil
}
