package burn

import (
	"cmp"
	"slices"

	"github.com/pomeloworks/pomelo"
)

const (
	shortWindow = iota
	mediumWindow
	longWindow
	windowCount
)

// counts holds one count for each window.
type counts [windowCount]int64

func (c *counts) add(n []int64) {
	for i := range min(len(n), windowCount) {
		c[i] += n[i]
	}
}

// totals counts the calls of a service or of one client account that count towards the objective, by outcome.
type totals struct {
	complete  counts
	slow      counts
	failed    counts
	byOutcome map[string]*counts
}

// serviceTotals holds the totals of a service and of each of its client accounts.
type serviceTotals struct {
	totals
	accounts map[string]*totals
}

func sumByService(all []pomelo.OutcomeCount) map[string]*serviceTotals {
	out := map[string]*serviceTotals{}
	for _, c := range all {
		s, ok := out[c.Service]
		if !ok {
			s = &serviceTotals{accounts: map[string]*totals{}}
			out[c.Service] = s
		}
		s.count(c)
	}
	return out
}

func (s *serviceTotals) count(c pomelo.OutcomeCount) {
	a, ok := s.accounts[c.Account]
	if !ok {
		a = &totals{byOutcome: map[string]*counts{}}
		s.accounts[c.Account] = a
	}
	a.count(c)
	s.totals.count(c)
}

func (s *totals) count(c pomelo.OutcomeCount) {
	switch {
	case c.Outcome == pomelo.OutcomeComplete:
		s.complete.add(c.PerWindow)
		return
	case c.Outcome == pomelo.OutcomeSlow:
		s.slow.add(c.PerWindow)
	case pomelo.IsExempt(c.Outcome):
		return
	default:
		s.failed.add(c.PerWindow)
	}
	s.recordReason(c)
}

func (s *totals) recordReason(c pomelo.OutcomeCount) {
	if s.byOutcome == nil {
		return
	}
	b, ok := s.byOutcome[c.Outcome]
	if !ok {
		b = &counts{}
		s.byOutcome[c.Outcome] = b
	}
	b.add(c.PerWindow)
}

// answered is the base of the latency goal; calls is the base of the goal for complete responses.
func (s *totals) answered(w int) int64 { return s.complete[w] + s.slow[w] }

func (s *totals) calls(w int) int64 { return s.answered(w) + s.failed[w] }

// reasons lists the outcomes that counted against the objective in a window, the most frequent first.
func (s *totals) reasons(w int) []pomelo.BurnReason {
	var out []pomelo.BurnReason
	for o, c := range s.byOutcome {
		if c[w] > 0 {
			out = append(out, pomelo.BurnReason{Outcome: o, Count: c[w]})
		}
	}
	slices.SortFunc(out, func(a, b pomelo.BurnReason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}
