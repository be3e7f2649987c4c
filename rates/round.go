package rates

import (
	"context"
	"strconv"

	"github.com/pomeloworks/pomelo"
)

// shardOwners are the owners of an account's shards, by shard, and their names as the pool uses them.
type shardOwners struct {
	members []pomelo.Member
	names   []string
}

// startRound starts a round of token requests unless one runs; the caller holds the account's lock.
func (l *Limiter) startRound(a *account) {
	if a.requesting {
		return
	}
	a.requesting = true
	go l.round(a, newRoundState(l.clock.Now(), a.lastWaiter))
}

// round requests tokens until no request waits; a request is refused when no owner is left to ask on its behalf, or when it has waited for maxTokenWait.
func (l *Limiter) round(a *account, r *roundState) {
	for {
		s := l.plan(a, r)
		for _, d := range s.returns {
			go l.requestTokens(a, s.owners, d)
		}
		if s.done {
			return
		}
		if s.pause > 0 {
			_ = l.clock.Sleep(context.Background(), s.pause)
			r.since = l.clock.Now()
			continue
		}
		for _, d := range s.requests {
			r.pending.count++
			go func() {
				l.requestTokens(a, s.owners, d)
				r.pending.finished <- struct{}{}
			}()
		}
		r.pending.wait()
	}
}

// pending tracks the in-flight token requests of a round; a slow one must not delay the round.
type pending struct {
	count    int
	finished chan struct{}
}

// wait returns when all token requests have finished, at the latest after slowRequestAfter.
func (p *pending) wait() {
	ctx, cancel := context.WithTimeout(context.Background(), slowRequestAfter.Duration())
	defer cancel()
	for p.count > 0 {
		select {
		case <-p.finished:
			p.count--
		case <-ctx.Done():
			return
		}
	}
}

// plan admits what it can and returns the round's next step.
// The end of the round and the last look at the waiting requests are one step, so that a request that arrives later starts the next round.
func (l *Limiter) plan(a *account, r *roundState) roundStep {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock.Now()
	a.serve(now)
	a.refuseExpired(now)
	owners := l.shardOwners(a)
	requests := a.pool.PlanRequests(now, len(a.waiters), owners.names, r.since)
	if len(requests) > 0 || r.pending.count > 0 {
		return roundStep{requests: requests, owners: owners}
	}
	if w := a.pool.WaitTime(now); len(a.waiters) > 0 && !r.paused && w <= maxEarnWait {
		r.paused = true
		return roundStep{pause: w, returns: a.returnPart(now, owners), owners: owners}
	}
	a.refuseUpTo(now, r.lastWaiter)
	if len(a.waiters) > 0 {
		r.restart(now, a.lastWaiter)
		return roundStep{}
	}
	a.requesting = false
	return roundStep{done: true, returns: a.returnPart(now, owners), owners: owners}
}

// returnPart returns the reports that give the owners back what this node holds, if that is less than one token; the caller holds the account's lock.
func (a *account) returnPart(now pomelo.Millis, owners shardOwners) []pomelo.OwnerGrantRequests {
	if !a.pool.ReturnPart(now) {
		return nil
	}
	return a.pool.PlanReturns(now, owners.names)
}

// requestTokens requests tokens from one owner and admits waiting requests with the granted ones.
func (l *Limiter) requestTokens(a *account, owners shardOwners, d pomelo.OwnerGrantRequests) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout.Duration())
	defer cancel()
	requestedAt := l.clock.Now()
	reply, err := l.sendRequest(ctx, owners.member(d.Owner), d)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock.Now()
	if err != nil {
		for _, k := range d.Requests {
			a.pool.MarkFailed(now, k.Shard)
		}
		return
	}
	for i, g := range reply.Grants {
		if g.Moved {
			a.pool.MarkFailed(now, g.Shard)
			continue
		}
		a.pool.ApplyGrant(requestedAt, now, d.Requests[min(i, len(d.Requests)-1)].TTL, g)
	}
	a.serve(now)
}

func (l *Limiter) sendRequest(ctx context.Context, m pomelo.Member, d pomelo.OwnerGrantRequests) (pomelo.GrantReply, error) {
	if m.Incarnation == l.members.Self().Incarnation {
		return l.issueAll(d.Requests), nil
	}
	l.metrics.Count("rates.messages", 1)
	var r pomelo.GrantReply
	err := l.peers.Request(ctx, m, pomelo.MessageGrant, pomelo.GrantBatch{Requests: d.Requests}, &r)
	return r, err
}

// reportUse reports grants that are used up or expire soon to their owners.
func (l *Limiter) reportUse(a *account) {
	a.mu.Lock()
	now := l.clock.Now()
	if !a.pool.IsReportDue(now) {
		a.mu.Unlock()
		return
	}
	owners := l.shardOwners(a)
	requests := a.pool.PlanReports(now, owners.names)
	a.mu.Unlock()
	for _, d := range requests {
		go l.requestTokens(a, owners, d)
	}
}

// shardOwners returns the owners of the shards that concern this node; the caller holds the account's lock.
func (l *Limiter) shardOwners(a *account) shardOwners {
	owners := shardOwners{members: make([]pomelo.Member, pomelo.MaxShards), names: make([]string, pomelo.MaxShards)}
	for i := range pomelo.MaxShards {
		if !a.pool.Concerns(i) {
			continue
		}
		m, ok := l.ownership.Owner(shardResource(a.name, i))
		if ok {
			owners.members[i] = m
			owners.names[i] = m.VM + " " + m.Incarnation
		}
	}
	return owners
}

func (o shardOwners) member(name string) pomelo.Member {
	for i := range o.names {
		if o.names[i] == name {
			return o.members[i]
		}
	}
	return pomelo.Member{}
}

// shardResource returns the resource name of a shard, which no change of the account's rate and burst changes.
func shardResource(account string, shard int) string {
	return "rate/" + account + "/" + strconv.Itoa(shard)
}
