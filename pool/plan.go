package pool

import (
	"cmp"
	"slices"

	"github.com/pomeloworks/pomelo"
)

// NeedsTokens reports whether the available tokens cover less than half of the expected demand.
func (p *Pool) NeedsTokens(now pomelo.Millis) bool {
	expected := p.expectedDemand(now)
	return expected >= 1 && p.Available(now) < expected/2
}

// GrantTTL returns the lifetime of grants to request, in milliseconds: short if only waiting requests need tokens.
func (p *Pool) GrantTTL(now pomelo.Millis) pomelo.Millis {
	if p.expectedDemand(now) < 1 {
		return waitingTTL
	}
	return min(maxTTL, 2*p.horizon()+waitingTTL)
}

// expectedDemand returns how many tokens the expected demand uses within the horizon.
func (p *Pool) expectedDemand(now pomelo.Millis) float64 {
	return p.demand.rate(now) * float64(p.horizon())
}

func (p *Pool) horizon() pomelo.Millis {
	if p.account.Rate <= 0 {
		return maxHorizon
	}
	return min(maxHorizon, pomelo.Millis(horizonBurstFraction*millisPerSecond*p.account.Burst/p.account.Rate))
}

// PlanRequests returns the token requests that cover the waiting requests and the expected demand; owners names each shard's owner, empty if unknown, and shards requested at or after since are left out.
func (p *Pool) PlanRequests(now pomelo.Millis, waiting int, owners []string, since pomelo.Millis) []pomelo.OwnerGrantRequests {
	p.retireGrants(now)
	need := float64(waiting) - p.Available(now)
	want := need
	if expected := p.expectedDemand(now); expected >= 1 {
		want += expected
	}
	if want <= 1-oneToken {
		return nil
	}
	if waiting > 0 && !p.allFailed(now) && !p.isProbeDue(now, need) && p.expectedTokens(now)+p.Available(now) < oneToken {
		return nil
	}
	return p.spreadRequests(now, want, need, owners, since)
}

// spreadRequests requests tokens from owners in the order of their expected tokens, most first, until they cover want.
func (p *Pool) spreadRequests(now pomelo.Millis, want, need float64, owners []string, since pomelo.Millis) []pomelo.OwnerGrantRequests {
	var out []pomelo.OwnerGrantRequests
	allFailed := p.allFailed(now)
	isProbe := p.isProbeDue(now, need)
	for _, i := range p.shardsByTokens(now, owners, since, allFailed) {
		if want <= 1-oneToken {
			break
		}
		expected := p.expectedTokensLeft(now, i)
		if !allFailed && !isProbe && expected < p.leastPart()*min(oneToken, want) {
			break
		}
		isProbe = false
		n := min(want, p.maxRequest(need))
		out = appendRequest(out, owners[i], p.newRequest(now, i, n))
		covered := min(n, expected)
		want -= covered
		need -= covered
	}
	return out
}

// isProbeDue reports whether requests need tokens and no owner has been asked for probeInterval.
func (p *Pool) isProbeDue(now pomelo.Millis, need float64) bool {
	if need <= 0 {
		return false
	}
	for i := range p.active {
		if p.shards[i].requestedAt >= now-probeInterval {
			return false
		}
	}
	return true
}

// leastPart returns the part of the wanted token, from 0 to 1, that a shard must be expected to have to be asked. While requests are refused, other nodes often take parts of tokens at several shards before this node has a whole one, and each part costs a message.
func (p *Pool) leastPart() float64 {
	return min(1, p.refusedShare/wholeTokenShare)
}

// maxRequest returns the maximum for one token request, so that no node empties a shard ahead of its demand.
func (p *Pool) maxRequest(need float64) float64 {
	return max(requestFraction*p.limits().Burst, min(need, p.limits().Burst), 1)
}

func (p *Pool) newRequest(now pomelo.Millis, i int, want float64) pomelo.GrantRequest {
	s := &p.shards[i]
	a := pomelo.GrantRequest{Account: p.account.Name, Shard: i, Tokens: want, TTL: p.GrantTTL(now), Used: s.takeReports()}
	if want > 0 {
		s.requestedAt = now
	}
	return a
}

// shardsByTokens returns the shards that may be asked, the one with the most expected tokens first.
func (p *Pool) shardsByTokens(now pomelo.Millis, owners []string, since pomelo.Millis, includeFailed bool) []int {
	var out []int
	p.firstShard++
	for j := range p.active {
		i := (p.firstShard + j) % p.active
		owner := owners[i]
		if owner == "" || p.shards[i].requestedAt >= since || !includeFailed && now < p.shards[i].failedUntil {
			continue
		}
		out = append(out, i)
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Compare(p.expectedTokensLeft(now, b), p.expectedTokensLeft(now, a))
	})
	return out
}

func (p *Pool) allFailed(now pomelo.Millis) bool {
	for i := range p.active {
		if now >= p.shards[i].failedUntil {
			return false
		}
	}
	return true
}

// FailedShare returns the share of shards, from 0 to 1, whose owners were unresponsive or have changed lately.
func (p *Pool) FailedShare(now pomelo.Millis) float64 {
	n := 0
	for i := range p.active {
		if now < p.shards[i].failedUntil {
			n++
		}
	}
	return float64(n) / float64(p.active)
}

// expectedTokens returns how many tokens all shards together may have by now.
func (p *Pool) expectedTokens(now pomelo.Millis) float64 {
	n := 0.0
	for i := range p.active {
		if now >= p.shards[i].failedUntil {
			n += p.expectedTokensLeft(now, i)
		}
	}
	return n
}

// expectedTokensLeft returns how many of a shard's tokens this node is likely to find by now.
func (p *Pool) expectedTokensLeft(now pomelo.Millis, i int) float64 {
	return p.tokensAt(now, i, float64(p.yield))
}

// expectedAlone returns how many tokens a shard would have by now if only this node requested them.
func (p *Pool) expectedAlone(now pomelo.Millis, i int) float64 {
	return p.tokensAt(now, i, 1)
}

// tokensAt returns the tokens of a shard by now if it has kept the share of what it has earned since its owner's last answer.
func (p *Pool) tokensAt(now pomelo.Millis, i int, share float64) float64 {
	limits := p.limits()
	s := &p.shards[i]
	earned := limits.Rate * float64(max(0, now-s.tokensLeftAt)) / millisPerSecond
	return min(limits.Burst, s.tokensLeft+share*earned)
}

// WaitTime returns the time in milliseconds until the shards have earned the tokens of one request.
func (p *Pool) WaitTime(now pomelo.Millis) pomelo.Millis {
	if p.account.Rate <= 0 {
		return maxTTL
	}
	missing := 1 - p.Available(now) - p.expectedTokens(now)
	return max(minRetryAfter, pomelo.Millis(missing*millisPerSecond/p.account.Rate)+1)
}

// RetryAfter returns the time, in milliseconds, after which a refused caller is to come back; draw is a random number from 0 to 1.
//
// The load that it answers is the return of all callers of a fleet that has restarted: until the shards start to earn tokens none is to be had, and whoever comes back earlier is refused again. The returns are spread over backlogFactor times as long again, in which the account has room for them beside its new requests.
func (p *Pool) RetryAfter(now pomelo.Millis, draw float64) pomelo.Millis {
	startsIn := p.startsIn(now)
	return p.WaitTime(now) + startsIn + pomelo.Millis(draw*float64(retrySpread+backlogFactor*startsIn))
}

// startsIn returns the mean time, in milliseconds, until the shards with responsive owners start to earn tokens.
func (p *Pool) startsIn(now pomelo.Millis) pomelo.Millis {
	sum, n := pomelo.Millis(0), pomelo.Millis(0)
	for i := range p.active {
		if now < p.shards[i].failedUntil {
			continue
		}
		sum += max(0, p.shards[i].startsAt-now)
		n++
	}
	return sum / max(n, 1)
}

// IsReportDue reports whether PlanReports has anything to report.
func (p *Pool) IsReportDue(now pomelo.Millis) bool {
	p.retireGrants(now)
	for i := range p.shards {
		if p.isReportDue(i) {
			return true
		}
	}
	return false
}

func (p *Pool) isReportDue(shard int) bool {
	return p.shards[shard].isReportDue(reportFraction * p.limits().Burst)
}

// PlanReports returns reports for owners that need the room again soon: of grants that expire, and of much use.
func (p *Pool) PlanReports(now pomelo.Millis, owners []string) []pomelo.OwnerGrantRequests {
	p.retireGrants(now)
	var out []pomelo.OwnerGrantRequests
	for i := range p.shards {
		if owners[i] == "" || !p.isReportDue(i) {
			continue
		}
		out = appendRequest(out, owners[i], p.newRequest(now, i, 0))
	}
	return out
}

// PlanReturns returns the reports of grants that ReturnPart has ended.
func (p *Pool) PlanReturns(now pomelo.Millis, owners []string) []pomelo.OwnerGrantRequests {
	var out []pomelo.OwnerGrantRequests
	for i := range p.shards {
		if owners[i] == "" || len(p.shards[i].reports) == 0 {
			continue
		}
		out = appendRequest(out, owners[i], p.newRequest(now, i, 0))
	}
	return out
}

func appendRequest(requests []pomelo.OwnerGrantRequests, owner string, a pomelo.GrantRequest) []pomelo.OwnerGrantRequests {
	for i := range requests {
		if requests[i].Owner == owner {
			requests[i].Requests = append(requests[i].Requests, a)
			return requests
		}
	}
	return append(requests, pomelo.OwnerGrantRequests{Owner: owner, Requests: []pomelo.GrantRequest{a}})
}

// retireGrants removes grants that are used up or expire soon; they are not used again and are reported as finished.
func (p *Pool) retireGrants(now pomelo.Millis) {
	for i := range p.shards {
		s := &p.shards[i]
		remaining := s.grants[:0]
		for _, g := range s.grants {
			if g.tokens-g.used >= minTokens && now < g.expiresAt-expiryMargin {
				remaining = append(remaining, g)
				continue
			}
			s.reports = append(s.reports, pomelo.GrantUsage{ID: g.id, Used: g.used, Finished: true})
			if now < g.expiresAt-waitingTTL || g.tokens-g.used > minTokens {
				s.dueTokens += g.tokens - g.reported
			}
			s.unusedTokens += g.tokens - g.used
		}
		s.grants = remaining
		if len(s.reports) > maxPendingReports {
			s.reports = s.reports[len(s.reports)-maxPendingReports:]
		}
	}
}

// ReturnPart ends the grants that together hold less than one token and reports whether there were any: other nodes may have the rest of it.
func (p *Pool) ReturnPart(now pomelo.Millis) bool {
	if n := p.Available(now); n < minTokens || n >= oneToken {
		return false
	}
	for i := range p.shards {
		s := &p.shards[i]
		for _, g := range s.grants {
			s.reports = append(s.reports, pomelo.GrantUsage{ID: g.id, Used: g.used, Finished: true})
			s.dueTokens += g.tokens - g.reported
		}
		s.grants = nil
	}
	return true
}

// isReportDue reports whether at least the given number of tokens waits to be reported.
func (s *shardState) isReportDue(threshold float64) bool {
	if s.unusedTokens >= minReturn {
		return true
	}
	n := s.dueTokens
	for _, g := range s.grants {
		n += g.used - g.reported
	}
	return n > 0 && n >= threshold
}

// takeReports returns the usage to report to the owner with the next token request.
func (s *shardState) takeReports() []pomelo.GrantUsage {
	out := s.reports
	s.reports = nil
	s.dueTokens = 0
	s.unusedTokens = 0
	for i := range s.grants {
		g := &s.grants[i]
		if g.used > g.reported {
			g.reported = g.used
			out = append(out, pomelo.GrantUsage{ID: g.id, Used: g.used})
		}
	}
	return out
}

// maxPendingReports is the maximum number of reports that wait for the next request of a shard; grants of dropped reports expire at the owner.
const maxPendingReports = 16
