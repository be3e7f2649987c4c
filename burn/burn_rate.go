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
	// minCalls is the number of calls from which a client account's burn rate is significant.
	minCalls = 20
	// maxReasons bounds the reasons listed for the worst client account.
	maxReasons = 3
)

// evaluate computes a service's entry of the report; s is nil when no call was counted.
func evaluate(o pomelo.Objective, s *serviceTotals) pomelo.BurnService {
	if s == nil {
		s = &serviceTotals{}
	}
	out := pomelo.BurnService{
		Objective:    o,
		Complete:     goal(o.CompleteShare, s.calls, func(w int) int64 { return s.failed[w] }),
		Latency:      goal(o.LatencyShare, s.answered, func(w int) int64 { return s.slow[w] }),
		WorstAccount: worstAccount(o, s),
	}
	out.State = state(out)
	return out
}

func goal(target float64, calls, bad func(w int) int64) pomelo.BurnGoal {
	g := pomelo.BurnGoal{Target: target, BudgetLeft: 1}
	for w, d := range windows() {
		g.Windows = append(g.Windows, pomelo.BurnWindow{Window: d, Calls: calls(w), Bad: bad(w), Rate: rate(target, calls(w), bad(w))})
	}
	g.BudgetLeft -= g.Windows[longWindow].Rate
	return g
}

// rate is the share of bad calls divided by the share that the target allows, and 0 without a target.
func rate(target float64, calls, bad int64) float64 {
	if calls == 0 || target <= 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(calls) / (1 - target)
}

func state(s pomelo.BurnService) pomelo.BurnState {
	switch {
	case s.Complete.Windows[longWindow].Calls == 0:
		return pomelo.BurnNoData
	case isBurning(s, shortWindow, mediumWindow, fastRate):
		return pomelo.BurnFast
	case isBurning(s, mediumWindow, longWindow, slowRate):
		return pomelo.BurnSlow
	}
	return pomelo.BurnOK
}

// isBurning reports whether a goal burns at the threshold or faster in both windows: the shorter window clears the alert soon after recovery.
func isBurning(s pomelo.BurnService, a, b int, threshold float64) bool {
	for _, g := range []pomelo.BurnGoal{s.Complete, s.Latency} {
		if g.Windows[a].Rate >= threshold && g.Windows[b].Rate >= threshold {
			return true
		}
	}
	return false
}

// candidate is a client account and the window that its burn rate was computed for.
type candidate struct {
	name     string
	totals   *totals
	window   int
	burnRate float64
}

// worstAccount returns the client account with the highest burn rate, in the shortest window in which any rate is above 0, or nil.
func worstAccount(o pomelo.Objective, s *serviceTotals) *pomelo.BurnAccount {
	for w := range windowCount {
		var all []candidate
		for name, a := range s.accounts {
			all = append(all, candidate{name, a, w, accountBurnRate(o, a, w)})
		}
		slices.SortFunc(all, compareByBurnRate)
		if len(all) > 0 && all[0].burnRate > 0 {
			return all[0].account()
		}
	}
	return nil
}

func accountBurnRate(o pomelo.Objective, a *totals, w int) float64 {
	return max(rate(o.CompleteShare, a.calls(w), a.failed[w]), rate(o.LatencyShare, a.answered(w), a.slow[w]))
}

// compareByBurnRate sorts the highest burn rate first, but accounts with fewer than minCalls calls after those with more.
func compareByBurnRate(a, b candidate) int {
	enough := cmp.Compare(min(b.totals.calls(b.window), minCalls), min(a.totals.calls(a.window), minCalls))
	if a.burnRate == 0 || b.burnRate == 0 {
		enough = 0
	}
	return cmp.Or(enough, cmp.Compare(b.burnRate, a.burnRate), cmp.Compare(a.name, b.name))
}

func (c candidate) account() *pomelo.BurnAccount {
	reasons := c.totals.reasons(c.window)
	return &pomelo.BurnAccount{
		Account: c.name,
		Window:  windows()[c.window],
		Calls:   c.totals.calls(c.window),
		Bad:     c.totals.failed[c.window] + c.totals.slow[c.window],
		Reasons: reasons[:min(len(reasons), maxReasons)],
	}
}
