package gate

import "github.com/pomeloworks/pomelo"

const (
	// averageWeight is the weight of one call in the moving averages.
	averageWeight = 0.1
	// An upstream counts as stalled after stallFactor times the expected interval between ends of calls.
	stallFactor = 3
)

// estimator estimates the duration of calls, the upstream's self time in them, and the wait of queued calls.
type estimator struct {
	duration float64
	selfTime float64
	lastEnd  pomelo.Millis
}

// resetStall restarts the detection of a stall: while no call was running, none was due to end.
func (e *estimator) resetStall(now pomelo.Millis) {
	e.lastEnd = now
}

func (e *estimator) observe(now, duration, selfTime pomelo.Millis) {
	e.lastEnd = now
	e.duration = movingAverage(e.duration, duration)
	e.selfTime = movingAverage(e.selfTime, selfTime)
}

func movingAverage(m float64, value pomelo.Millis) float64 {
	if m == 0 {
		return float64(value)
	}
	return m + averageWeight*(float64(value)-m)
}

// expectedDuration returns the expected time from admission to the answer, in milliseconds.
func (e *estimator) expectedDuration() pomelo.Millis {
	return pomelo.Millis(e.duration)
}

// expectedWait returns the expected time, in milliseconds, until a call with so many others ahead of it is admitted.
// While the upstream is stalled, all running calls are expected to end in parallel, after as long again as the time since the last end.
func (e *estimator) expectedWait(now pomelo.Millis, ahead, allowed, slots int) pomelo.Millis {
	interval := max(e.selfTime/float64(allowed), e.duration/float64(slots))
	if stalled := float64(now - e.lastEnd); e.lastEnd > 0 && stalled > stallFactor*max(interval, 1) {
		interval = max(interval, stalled/float64(allowed))
	}
	return pomelo.Millis(float64(ahead+1) * interval)
}
