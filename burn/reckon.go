package burn

import (
	"cmp"
	"slices"

	"github.com/pomeloworks/pomelo"
)

const (
	// fastRate and slowRate are the usual multi-window thresholds of a monthly objective.
	fastRate = 14.4
	slowRate = 6
	// leastCalls is how many calls a client account's share is worth something of.
	leastCalls = 20
	// mostReasons bounds the reasons of the worst client account.
	mostReasons = 3
)

// reckon makes a service's part of the report; s is nil when no call was counted.
func reckon(o pomelo.Objective, s *service) pomelo.BurnService {
	if s == nil {
		s = &service{}
	}
	out := pomelo.BurnService{
		Objective:    o,
		Complete:     goal(o.CompleteShare, s.calls, func(w int) int64 { return s.bad[w] }),
		Latency:      goal(o.LatencyShare, s.answered, func(w int) int64 { return s.slow[w] }),
		WorstAccount: worst(o, s),
	}
	out.State = state(out)
	return out
}

func goal(target float64, calls, bad func(w int) int64) pomelo.BurnGoal {
	g := pomelo.BurnGoal{Target: target, BudgetLeft: 1}
	for w, d := range windows() {
		g.Windows = append(g.Windows, pomelo.BurnWindow{Window: d, Calls: calls(w), Bad: bad(w), Rate: rate(target, calls(w), bad(w))})
	}
	g.BudgetLeft -= g.Windows[long].Rate
	return g
}

// rate is the share of bad calls over the share that the target allows; without a target nothing burns.
func rate(target float64, calls, bad int64) float64 {
	if calls == 0 || target <= 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(calls) / (1 - target)
}

func state(s pomelo.BurnService) pomelo.BurnState {
	switch {
	case s.Complete.Windows[long].Calls == 0:
		return pomelo.BurnNoData
	case burns(s, short, medium, fastRate):
		return pomelo.BurnFast
	case burns(s, medium, long, slowRate):
		return pomelo.BurnSlow
	}
	return pomelo.BurnOK
}

// burns holds when a goal burns at the rate in both windows: the short one ends the alarm soon after the trouble.
func burns(s pomelo.BurnService, a, b int, least float64) bool {
	for _, g := range []pomelo.BurnGoal{s.Complete, s.Latency} {
		if g.Windows[a].Rate >= least && g.Windows[b].Rate >= least {
			return true
		}
	}
	return false
}

// candidate is a client account in the window in which it is looked at.
type candidate struct {
	name   string
	sum    *sum
	window int
	burn   float64
}

// worst is the client account with the highest burn rate, in the shortest window in which one burns; nil when none does.
func worst(o pomelo.Objective, s *service) *pomelo.BurnAccount {
	for w := range spans {
		var all []candidate
		for name, a := range s.accounts {
			all = append(all, candidate{name, a, w, burnOf(o, a, w)})
		}
		slices.SortFunc(all, worseFirst)
		if len(all) > 0 && all[0].burn > 0 {
			return all[0].account()
		}
	}
	return nil
}

func burnOf(o pomelo.Objective, a *sum, w int) float64 {
	return max(rate(o.CompleteShare, a.calls(w), a.bad[w]), rate(o.LatencyShare, a.answered(w), a.slow[w]))
}

// worseFirst puts accounts with too few calls last.
func worseFirst(a, b candidate) int {
	enough := cmp.Compare(min(b.sum.calls(b.window), leastCalls), min(a.sum.calls(a.window), leastCalls))
	if a.burn == 0 || b.burn == 0 {
		enough = 0
	}
	return cmp.Or(enough, cmp.Compare(b.burn, a.burn), cmp.Compare(a.name, b.name))
}

func (c candidate) account() *pomelo.BurnAccount {
	reasons := c.sum.reasons(c.window)
	return &pomelo.BurnAccount{
		Account: c.name,
		Window:  windows()[c.window],
		Calls:   c.sum.calls(c.window),
		Bad:     c.sum.bad[c.window] + c.sum.slow[c.window],
		Reasons: reasons[:min(len(reasons), mostReasons)],
	}
}
