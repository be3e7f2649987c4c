package tally

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	defaultSeries = 4096
	// defaultReport keeps a report within the head of one message.
	defaultReport = 400
)

// Tally implements pomelo.OutcomeRecorder; it is safe for concurrent use.
type Tally struct {
	clock     pomelo.Clock
	maxSeries int
	maxCounts int
	mu        sync.RWMutex
	series    map[seriesKey]*entry
}

type seriesKey struct {
	service string
	account string
	outcome string
}

type entry struct {
	mu     sync.Mutex
	series series
}

var _ pomelo.OutcomeRecorder = (*Tally)(nil)

// New returns an empty tally with a limit of 4096 series.
func New(clock pomelo.Clock, opts ...func(*Tally)) *Tally {
	t := &Tally{clock: clock, maxSeries: defaultSeries, maxCounts: defaultReport, series: map[seriesKey]*entry{}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithLimits bounds the stored series and the reported counts; client accounts over a limit are counted together as pomelo.OtherAccounts.
func WithLimits(maxSeries, maxCounts int) func(*Tally) {
	return func(t *Tally) {
		t.maxSeries = maxSeries
		t.maxCounts = maxCounts
	}
}

// Record counts one call.
func (t *Tally) Record(service, account, outcome string) {
	e := t.findOrCreate(seriesKey{service, account, outcome})
	now := t.clock.Now()
	e.mu.Lock()
	e.series.add(now)
	e.mu.Unlock()
}

// Counts returns the counts of the windows that end now, their lengths in milliseconds; over the limit, the smallest counts are merged into pomelo.OtherAccounts.
func (t *Tally) Counts(windows []pomelo.Millis) []pomelo.OutcomeCount {
	now := t.clock.Now()
	t.mu.RLock()
	out := make([]pomelo.OutcomeCount, 0, len(t.series))
	for n, e := range t.series {
		if c := e.count(n, now, windows); !isZero(c.PerWindow) {
			out = append(out, c)
		}
	}
	t.mu.RUnlock()
	slices.SortFunc(out, compare)
	return mergeSmallest(out, t.maxCounts)
}

func (t *Tally) findOrCreate(n seriesKey) *entry {
	t.mu.RLock()
	e, ok := t.series[n]
	t.mu.RUnlock()
	if ok {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.series) >= t.maxSeries {
		t.evict()
	}
	if _, ok := t.series[n]; !ok && len(t.series) >= t.maxSeries {
		n.account = pomelo.OtherAccounts
	}
	e, ok = t.series[n]
	if !ok {
		e = &entry{}
		t.series[n] = e
	}
	return e
}

// evict removes the series without a call in the longest window.
func (t *Tally) evict() {
	now := t.clock.Now()
	for n, e := range t.series {
		e.mu.Lock()
		idle := e.series.sum(now, slotWidths[len(slotWidths)-1]*(slotCount-1)) == 0
		e.mu.Unlock()
		if idle {
			delete(t.series, n)
		}
	}
}

func (e *entry) count(n seriesKey, now pomelo.Millis, windows []pomelo.Millis) pomelo.OutcomeCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := pomelo.OutcomeCount{Service: n.service, Account: n.account, Outcome: n.outcome, PerWindow: make([]int64, len(windows))}
	for i, w := range windows {
		c.PerWindow[i] = e.series.sum(now, w)
	}
	return c
}

// mergeSmallest merges the smallest counts by service and outcome if there are more counts than limit.
func mergeSmallest(counts []pomelo.OutcomeCount, limit int) []pomelo.OutcomeCount {
	if len(counts) <= limit {
		return counts
	}
	out := slices.Clone(counts[:limit/2])
	indexes := map[seriesKey]int{}
	for _, c := range counts[limit/2:] {
		n := seriesKey{c.Service, pomelo.OtherAccounts, c.Outcome}
		i, ok := indexes[n]
		if !ok {
			indexes[n] = len(out)
			out = append(out, pomelo.OutcomeCount{Service: n.service, Account: n.account, Outcome: n.outcome, PerWindow: slices.Clone(c.PerWindow)})
			continue
		}
		for j := range c.PerWindow {
			out[i].PerWindow[j] += c.PerWindow[j]
		}
	}
	return out
}

func compare(a, b pomelo.OutcomeCount) int {
	return cmp.Or(
		-slices.Compare(a.PerWindow, b.PerWindow),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Outcome, b.Outcome),
	)
}

func isZero(n []int64) bool {
	return !slices.ContainsFunc(n, func(v int64) bool { return v != 0 })
}
