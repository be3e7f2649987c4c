package queue

import "github.com/pomeloworks/pomelo"

const (
	// windowTime is the length, in milliseconds, of the window in which starts are counted.
	windowTime = pomelo.Millis(1_000)
	// maxWindowStarts bounds the memory for the starts of a second; limits above it are enforced by their rate only.
	maxWindowStarts = 4_096
)

// window holds the times of the starts of the last second, in ascending order. Those before knownFrom are unknown: the node's previous process may have started as many as allowed.
type window struct {
	knownFrom pomelo.Millis
	starts    []pomelo.Millis
}

func (w *window) add(now pomelo.Millis) {
	w.advance(now)
	if len(w.starts) >= maxWindowStarts {
		w.starts = w.starts[1:]
	}
	w.starts = append(w.starts, now)
}

func (w *window) count(now pomelo.Millis) int {
	w.advance(now)
	return len(w.starts)
}

// wait returns the time, in milliseconds, until the window certainly holds fewer than limit starts; 0 if it does now.
func (w *window) wait(now pomelo.Millis, limit int) pomelo.Millis {
	fullSince := w.knownFrom
	if excess := w.count(now) - limit; excess >= 0 {
		fullSince = w.starts[excess]
	}
	return max(0, fullSince+windowTime+1-now)
}

// advance removes the starts that are older than windowTime.
func (w *window) advance(now pomelo.Millis) {
	n := 0
	for n < len(w.starts) && w.starts[n] < now-windowTime {
		n++
	}
	w.starts = w.starts[n:]
}
