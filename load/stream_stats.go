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

// streamStats counts the outcomes of one stream.
type streamStats struct {
	mutex    sync.Mutex
	stream   pomelo.LoadStream
	summary  pomelo.LoadSummary
	account  pomelo.LoadAccount
	timeline timeline
	latency  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

func newStreamStats(s pomelo.LoadStream) *streamStats {
	return &streamStats{
		stream:   s,
		summary:  pomelo.LoadSummary{Name: s.Name, Account: s.Account, Refused: map[pomelo.Kind]int64{}, Failed: map[pomelo.Kind]int64{}},
		latency:  newHistogram(),
		refusals: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func (t *streamStats) recordOffered(a arrival) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Offered++
	t.summary.WorthOffered += t.stream.Worth
	b := t.timeline.at(a.at)
	b.offered++
	b.worthOffered += t.stream.Worth
	if a.withinRate {
		t.account.WithinRate++
	}
}

func (t *streamStats) recordUnsent(a arrival) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Unsent++
	t.timeline.at(a.at).failed++
}

// recordResult counts the request by its last outcome; finishedAt is in milliseconds from the start.
func (t *streamStats) recordResult(a arrival, finishedAt float64, r result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Attempts += r.attempts
	for _, d := range r.refusals {
		observe(t.refusals, d)
	}
	switch r.last.class {
	case classComplete:
		t.recordComplete(a, finishedAt, r)
	case classRefused:
		t.recordRefused(a, r)
	case classFailed:
		t.summary.Failed[r.last.kind]++
		t.timeline.at(a.at).failed++
	case classMismatched:
		t.summary.Mismatched++
		t.timeline.at(a.at).failed++
	}
}

func (t *streamStats) recordComplete(a arrival, finishedAt float64, r result) {
	t.summary.Complete++
	t.summary.WorthComplete += t.stream.Worth
	if a.withinRate {
		t.account.WithinRateComplete++
	}
	b := t.timeline.at(a.at)
	b.complete++
	b.worthComplete += t.stream.Worth
	if r.took > timeout(t.stream).Duration() {
		t.summary.Late++
		b.late++
	}
	c := t.timeline.at(finishedAt)
	c.completed++
	c.completedWorth += t.stream.Worth
	c.completedCost += t.stream.BottleneckCalls
	observe(t.latency, r.took)
}

func (t *streamStats) recordRefused(a arrival, r result) {
	t.summary.Refused[r.last.kind]++
	t.timeline.at(a.at).refused++
	if !a.withinRate {
		return
	}
	if r.last.kind == pomelo.KindRateExceeded {
		t.account.WithinRateLimited++
		return
	}
	t.account.WithinRateShed++
}

// observe clamps the value to the histogram's range, so that every value is counted.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}
