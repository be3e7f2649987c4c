package retry

import "github.com/pomeloworks/pomelo"

type bucket struct {
	calls   int
	retries int
}

// window retains the counts of the last buckets; newestIndex is the number of the newest bucket since time 0.
type window struct {
	newestIndex pomelo.Millis
	counts      [retainedBuckets]bucket
}

func (w *window) newest() *bucket {
	return &w.counts[w.newestIndex%retainedBuckets]
}

func (w *window) add(calls, retries int) {
	b := w.newest()
	b.calls += calls
	b.retries += retries
}

// calls returns the highest number of calls in the spans that ended now, half a span ago and a span ago.
func (w *window) calls() int {
	return max(w.callsBefore(0), w.callsBefore(buckets/2), w.callsBefore(buckets))
}

// callsBefore returns the number of calls in the span that ended so many buckets ago.
func (w *window) callsBefore(ago int) int {
	sum := 0
	for i := range buckets {
		sum += w.counts[(int(w.newestIndex)+2*retainedBuckets-ago-i)%retainedBuckets].calls
	}
	return sum
}

func (w *window) retries() int {
	sum := 0
	for i := range buckets {
		sum += w.counts[(int(w.newestIndex)+retainedBuckets-i)%retainedBuckets].retries
	}
	return sum
}

func (w *window) advance(to pomelo.Millis) {
	if to-w.newestIndex >= retainedBuckets {
		*w = window{newestIndex: to}
	}
	for w.newestIndex < to {
		w.newestIndex++
		w.counts[w.newestIndex%retainedBuckets] = bucket{}
	}
}
