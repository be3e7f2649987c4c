package limit

import "github.com/pomeloworks/pomelo"

const (
	minWindowLength = pomelo.Millis(100)
	// A window with fewer ended calls than minSamples or than the limit stays open, but not longer than maxWindowLength.
	minSamples      = 10
	maxWindowLength = pomelo.Millis(1_000)
)

// window accumulates the ended calls of a short time.
type window struct {
	start    pomelo.Millis
	count    int
	complete int
	selfTime pomelo.Millis
	atLimit  int
}

// summary describes one closed window: the mean self time in milliseconds, the complete answers a millisecond, and whether at least half of the calls ran at the limit.
type summary struct {
	selfTime   float64
	throughput float64
	atLimit    bool
}

func (w *window) add(now, selfTime pomelo.Millis, complete, atLimit bool) {
	if w.count == 0 && w.start == 0 {
		w.start = now
	}
	w.count++
	w.selfTime += selfTime
	if complete {
		w.complete++
	}
	if atLimit {
		w.atLimit++
	}
}

func (w *window) close(now pomelo.Millis, allowed int) (summary, bool) {
	length := now - w.start
	if length < minWindowLength || w.count == 0 {
		return summary{}, false
	}
	if w.count < max(minSamples, allowed) && length < maxWindowLength {
		return summary{}, false
	}
	s := summary{
		selfTime:   float64(w.selfTime) / float64(w.count),
		throughput: float64(w.complete) / float64(length),
		atLimit:    2*w.atLimit >= w.count,
	}
	*w = window{start: now}
	return s, true
}
