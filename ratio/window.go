package ratio

import "github.com/pomeloworks/pomelo"

type bucket struct {
	calls   int
	retries int
}

// window keeps the last buckets; at is the number of the newest one.
type window struct {
	at     pomelo.Millis
	counts [kept]bucket
}

func (w *window) newest() *bucket {
	return &w.counts[w.at%kept]
}

func (w *window) add(calls, retries int) {
	b := w.newest()
	b.calls += calls
	b.retries += retries
}

// calls are the most of the spans that end now, half a span ago and a span ago.
func (w *window) calls() int {
	return max(w.callsBefore(0), w.callsBefore(buckets/2), w.callsBefore(buckets))
}

// callsBefore sums up the calls of the span that ended so many buckets ago.
func (w *window) callsBefore(ago int) int {
	sum := 0
	for i := range buckets {
		sum += w.counts[(int(w.at)+2*kept-ago-i)%kept].calls
	}
	return sum
}

func (w *window) retries() int {
	sum := 0
	for i := range buckets {
		sum += w.counts[(int(w.at)+kept-i)%kept].retries
	}
	return sum
}

func (w *window) advance(to pomelo.Millis) {
	if to-w.at >= kept {
		*w = window{at: to}
	}
	for w.at < to {
		w.at++
		w.counts[w.at%kept] = bucket{}
	}
}
