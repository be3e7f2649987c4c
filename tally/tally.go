package tally

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	defaultSeries = 4096
	// defaultReport keeps a report within one message's head.
	defaultReport = 400
)

// Tally implements pomelo.Outcomes.
type Tally struct {
	clock  pomelo.Clock
	most   int
	report int
	mu     sync.RWMutex
	series map[name]*entry
}

type name struct {
	service string
	account string
	outcome string
}

type entry struct {
	mu     sync.Mutex
	series series
}

var _ pomelo.OutcomeRecorder = (*Tally)(nil)

// New returns an empty tally of at most 4096 series.
func New(clock pomelo.Clock, opts ...func(*Tally)) *Tally {
	t := &Tally{clock: clock, most: defaultSeries, report: defaultReport, series: map[name]*entry{}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithLimits bounds the series kept and the counts reported; client accounts over the limit are counted together.
func WithLimits(series, report int) func(*Tally) {
	return func(t *Tally) {
		t.most = series
		t.report = report
	}
}

// Record counts one call.
func (t *Tally) Record(service, account, outcome string) {
	e := t.entry(name{service, account, outcome})
	now := t.clock.Now()
	e.mu.Lock()
	e.series.add(now)
	e.mu.Unlock()
}

// Counts returns what was counted in the windows that end now, in milliseconds; the smallest client accounts are put together over the limit.
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
	return fold(out, t.report)
}

func (t *Tally) entry(n name) *entry {
	t.mu.RLock()
	e, ok := t.series[n]
	t.mu.RUnlock()
	if ok {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.series) >= t.most {
		t.evict()
	}
	if _, ok := t.series[n]; !ok && len(t.series) >= t.most {
		n.account = pomelo.OtherAccounts
	}
	e, ok = t.series[n]
	if !ok {
		e = &entry{}
		t.series[n] = e
	}
	return e
}

// evict drops the series that counted nothing within the longest window.
func (t *Tally) evict() {
	now := t.clock.Now()
	for n, e := range t.series {
		e.mu.Lock()
		idle := e.series.sum(now, widths[len(widths)-1]*(slots-1)) == 0
		e.mu.Unlock()
		if idle {
			delete(t.series, n)
		}
	}
}

func (e *entry) count(n name, now pomelo.Millis, windows []pomelo.Millis) pomelo.OutcomeCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := pomelo.OutcomeCount{Service: n.service, Account: n.account, Outcome: n.outcome, PerWindow: make([]int64, len(windows))}
	for i, w := range windows {
		c.PerWindow[i] = e.series.sum(now, w)
	}
	return c
}

// fold puts the accounts of the smallest counts together, so that the list is not longer than it may be.
func fold(counts []pomelo.OutcomeCount, most int) []pomelo.OutcomeCount {
	if len(counts) <= most {
		return counts
	}
	out := slices.Clone(counts[:most/2])
	at := map[name]int{}
	for _, c := range counts[most/2:] {
		n := name{c.Service, pomelo.OtherAccounts, c.Outcome}
		i, ok := at[n]
		if !ok {
			at[n] = len(out)
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
