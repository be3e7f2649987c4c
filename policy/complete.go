package policy

import (
	"maps"
	"slices"

	"github.com/pomeloworks/pomelo"
)

// Complete returns the next policy with what could not be read of it taken from the previous one, which is the last good one, where that gives no caller a right that the next one may have taken away.
func Complete(previous, next pomelo.PolicySpec) pomelo.PolicySpec {
	if next.Gaps.Has(pomelo.GapRoutes) {
		next.Routes = previous.Routes
	}
	if next.Gaps.Has(pomelo.GapServices) {
		next.Services = previous.Services
	}
	if next.Gaps.Has(pomelo.GapAccounts) {
		next.Accounts = previous.Accounts
		next.UnreadKeyIDs = previous.UnreadKeyIDs
	}
	next.Limits = completeLimits(previous.Limits, next.Limits, next.Gaps)
	next.Routes = completeRoutes(previous.Routes, next.Routes)
	next.Services = completeServices(previous.Services, next.Services)
	return completeAccounts(previous, next)
}

func completeLimits(last, l pomelo.TrafficLimits, gaps pomelo.Gaps) pomelo.TrafficLimits {
	if gaps.Has(pomelo.GapHeadBytes) {
		l.HeadBytes = last.HeadBytes
	}
	if gaps.Has(pomelo.GapBodyBytes) {
		l.BodyBytes = last.BodyBytes
	}
	if gaps.Has(pomelo.GapHeadTimeout) {
		l.HeadTimeout = last.HeadTimeout
	}
	if gaps.Has(pomelo.GapIdleTimeout) {
		l.IdleTimeout = last.IdleTimeout
	}
	return l
}

func completeServices(previous, next []pomelo.TrafficService) []pomelo.TrafficService {
	out := slices.Clone(next)
	for i := range out {
		s := &out[i]
		if s.Gaps == 0 {
			continue
		}
		at := slices.IndexFunc(previous, func(l pomelo.TrafficService) bool { return l.Name == s.Name })
		if at < 0 {
			continue
		}
		if s.Gaps.Has(pomelo.GapHealthPath) {
			s.HealthPath = previous[at].HealthPath
		}
		if s.Gaps.Has(pomelo.GapWarmup) {
			s.WarmupTime = previous[at].WarmupTime
			s.WarmupPerSecond = previous[at].WarmupPerSecond
		}
	}
	return out
}

// completeRoutes leaves out routes whose place is not known.
func completeRoutes(previous, next []pomelo.TrafficRoute) []pomelo.TrafficRoute {
	out := make([]pomelo.TrafficRoute, 0, len(next))
	for _, r := range next {
		if r.Gaps == 0 {
			out = append(out, r)
			continue
		}
		at := slices.IndexFunc(previous, func(l pomelo.TrafficRoute) bool { return l.Name == r.Name })
		var last pomelo.TrafficRoute
		if at >= 0 {
			last = previous[at]
		}
		if r, ok := completeRoute(last, at >= 0, r); ok {
			out = append(out, r)
		}
	}
	return out
}

// completeRoute reports false if the route's host or prefix is not known.
func completeRoute(last pomelo.TrafficRoute, hasLast bool, r pomelo.TrafficRoute) (pomelo.TrafficRoute, bool) {
	if !hasLast && r.Gaps.Has(pomelo.GapHost|pomelo.GapPrefix) {
		return r, false
	}
	if r.Gaps.Has(pomelo.GapObject) {
		last.Open = false
		last.NonIdempotent = true
		return last, true
	}
	if r.Gaps.Has(pomelo.GapHost) {
		r.Host = last.Host
	}
	if r.Gaps.Has(pomelo.GapPrefix) {
		r.PathPrefix = last.PathPrefix
	}
	r.Open = r.Open && !r.Gaps.Has(pomelo.GapOpen)
	r.NonIdempotent = r.NonIdempotent || r.Gaps.Has(pomelo.GapNonIdempotent)
	if r.Gaps.Has(pomelo.GapImportance) {
		r.Importance = last.Importance
	}
	if r.Gaps.Has(pomelo.GapAttempts) {
		r.MaxAttempts = max(last.MaxAttempts, 1)
	}
	if r.Gaps.Has(pomelo.GapTargets) {
		r.Targets = last.Targets
	}
	if r.Gaps.Has(pomelo.GapTimeout) {
		r.Timeout = last.Timeout
	}
	if r.Gaps.Has(pomelo.GapObjective) {
		r.LatencyObjective = last.LatencyObjective
	}
	if r.Gaps.Has(pomelo.GapObjective) && !hasLast {
		r.LatencyObjective = r.Timeout
	}
	// Without its regions a call might run where it must not.
	r.Unread = r.Gaps.Has(pomelo.GapRegions) || len(r.Targets) == 0 || r.Timeout <= 0
	return r, true
}

// completeAccounts takes away the keys of accounts that can't be used without what could not be read of them.
func completeAccounts(previous, next pomelo.PolicySpec) pomelo.PolicySpec {
	next.Accounts = slices.Clone(next.Accounts)
	unread := next.UnreadKeyIDs
	for i := range next.Accounts {
		a := &next.Accounts[i]
		if a.Gaps == 0 {
			continue
		}
		at := slices.IndexFunc(previous.Accounts, func(l pomelo.TrafficAccount) bool { return l.Name == a.Name })
		var last pomelo.TrafficAccount
		if at >= 0 {
			last = previous.Accounts[at]
		}
		if a.Gaps.Has(pomelo.GapKeys) {
			unread = slices.Concat(unread, last.KeyIDs, previous.UnreadKeyIDs)
		}
		completeAccount(last, at >= 0, a)
		if !isUsable(last, at >= 0, *a) {
			unread = slices.Concat(unread, a.KeyIDs)
			a.KeyIDs = nil
		}
	}
	next.UnreadKeyIDs = withoutHeld(unread, next.Accounts)
	return next
}

// withoutHeld returns the keys, each once, that no account holds.
func withoutHeld(keys []string, accounts []pomelo.TrafficAccount) []string {
	if len(keys) == 0 {
		return nil
	}
	left := map[string]bool{}
	for _, k := range keys {
		left[k] = true
	}
	for _, a := range accounts {
		for _, k := range a.KeyIDs {
			delete(left, k)
		}
	}
	return slices.Sorted(maps.Keys(left))
}

func completeAccount(last pomelo.TrafficAccount, hasLast bool, a *pomelo.TrafficAccount) {
	if a.Gaps.Has(pomelo.GapRate) {
		a.Rate = last.Rate
	}
	if a.Gaps.Has(pomelo.GapBurst) {
		a.Burst = last.Burst
	}
	if !a.Gaps.Has(pomelo.GapImportance) {
		return
	}
	a.Importance = 0
	if hasLast {
		a.Importance = last.Importance
	}
}

// isUsable reports whether requests of the account may run: its limit and regions are known, and its name can be passed on.
func isUsable(last pomelo.TrafficAccount, hasLast bool, a pomelo.TrafficAccount) bool {
	if a.Gaps.Has(pomelo.GapName | pomelo.GapRegions) {
		return false
	}
	return !a.Gaps.Has(pomelo.GapRate|pomelo.GapBurst) || hasLast && last.IsLimited()
}
