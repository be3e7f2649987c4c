package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pomeloworks/pomelo"
)

const (
	// Histograms hold microseconds, up to ten minutes.
	histogramMin    = 1
	histogramMax    = 600_000_000
	histogramDigits = 3
)

// tally gathers one stream's outcomes.
type tally struct {
	mutex    sync.Mutex
	stream   pomelo.LoadStream
	summary  pomelo.LoadSummary
	account  pomelo.LoadAccount
	line     timeline
	latency  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

func newTally(s pomelo.LoadStream) *tally {
	return &tally{
		stream:   s,
		summary:  pomelo.LoadSummary{Name: s.Name, Account: s.Account, Refused: map[pomelo.Kind]int64{}, Failed: map[pomelo.Kind]int64{}},
		latency:  newHistogram(),
		refusals: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func (t *tally) offer(a arrival) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Offered++
	t.summary.WorthOffered += t.stream.Worth
	b := t.line.at(a.at)
	b.offered++
	b.worthOffered += t.stream.Worth
	if a.allowed {
		t.account.WithinRate++
	}
}

func (t *tally) skip(a arrival) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Unsent++
	t.line.at(a.at).failed++
}

// finish counts the request by its last outcome; done is in milliseconds from the start.
func (t *tally) finish(a arrival, done float64, r result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Attempts += r.attempts
	for _, d := range r.refusals {
		observe(t.refusals, d)
	}
	switch r.last.class {
	case classWhole:
		t.whole(a, done, r)
	case classRefused:
		t.refused(a, r)
	case classFailed:
		t.summary.Failed[r.last.kind]++
		t.line.at(a.at).failed++
	case classWrong:
		t.summary.Mismatched++
		t.line.at(a.at).failed++
	}
}

func (t *tally) whole(a arrival, done float64, r result) {
	t.summary.Complete++
	t.summary.WorthComplete += t.stream.Worth
	if a.allowed {
		t.account.WithinRateComplete++
	}
	b := t.line.at(a.at)
	b.whole++
	b.worthWhole += t.stream.Worth
	if r.took > timeout(t.stream).Duration() {
		t.summary.Late++
		b.late++
	}
	c := t.line.at(done)
	c.completed++
	c.completedWorth += t.stream.Worth
	c.completedCost += t.stream.BottleneckCalls
	observe(t.latency, r.took)
}

func (t *tally) refused(a arrival, r result) {
	t.summary.Refused[r.last.kind]++
	t.line.at(a.at).refused++
	if !a.allowed {
		return
	}
	if r.last.kind == pomelo.KindRateExceeded {
		t.account.WithinRateLimited++
		return
	}
	t.account.WithinRateShed++
}

// observe clamps to the histogram's range, so that no value is lost.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}
