package burn

import (
	"cmp"
	"slices"

	"github.com/pomeloworks/pomelo"
)

const (
	short = iota
	medium
	long
	spans
)

// counts holds one number for each window.
type counts [spans]int64

func (c *counts) add(n []int64) {
	for i := range min(len(n), spans) {
		c[i] += n[i]
	}
}

// sum is a service's calls, or one client account's: those that count for the objective, by how they ended.
type sum struct {
	whole counts
	slow  counts
	bad   counts
	by    map[string]*counts
}

// service is a service's sum and those of its client accounts.
type service struct {
	sum
	accounts map[string]*sum
}

func add(all []pomelo.OutcomeCount) map[string]*service {
	out := map[string]*service{}
	for _, c := range all {
		s, ok := out[c.Service]
		if !ok {
			s = &service{accounts: map[string]*sum{}}
			out[c.Service] = s
		}
		s.count(c)
	}
	return out
}

func (s *service) count(c pomelo.OutcomeCount) {
	a, ok := s.accounts[c.Account]
	if !ok {
		a = &sum{by: map[string]*counts{}}
		s.accounts[c.Account] = a
	}
	a.count(c)
	s.sum.count(c)
}

func (s *sum) count(c pomelo.OutcomeCount) {
	switch {
	case c.Outcome == pomelo.OutcomeComplete:
		s.whole.add(c.PerWindow)
		return
	case c.Outcome == pomelo.OutcomeSlow:
		s.slow.add(c.PerWindow)
	case pomelo.IsExempt(c.Outcome):
		return
	default:
		s.bad.add(c.PerWindow)
	}
	s.blame(c)
}

func (s *sum) blame(c pomelo.OutcomeCount) {
	if s.by == nil {
		return
	}
	b, ok := s.by[c.Outcome]
	if !ok {
		b = &counts{}
		s.by[c.Outcome] = b
	}
	b.add(c.PerWindow)
}

// answered and calls are what the two goals are shares of.
func (s *sum) answered(w int) int64 { return s.whole[w] + s.slow[w] }

func (s *sum) calls(w int) int64 { return s.answered(w) + s.bad[w] }

// reasons lists what counted against the objective in a window, the most frequent first.
func (s *sum) reasons(w int) []pomelo.BurnReason {
	var out []pomelo.BurnReason
	for o, c := range s.by {
		if c[w] > 0 {
			out = append(out, pomelo.BurnReason{Outcome: o, Count: c[w]})
		}
	}
	slices.SortFunc(out, func(a, b pomelo.BurnReason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}
