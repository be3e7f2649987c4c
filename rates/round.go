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
	go l.round(a)
}

// round requests tokens until every waiting request is admitted or no owner is left to ask, pauses at most once, and then refuses the rest.
func (l *Limiter) round(a *account) {
	ctx, cancel := context.WithTimeout(context.Background(), maxTokenWait.Duration())
	defer cancel()
	since := l.clock.Now()
	paused := false
	p := pending{finished: make(chan struct{}, maxRoundRequests)}
	for ctx.Err() == nil {
		requests, owners, pause := l.plan(a, since)
		if len(requests) == 0 && p.count == 0 {
			if pause == 0 || paused {
				break
			}
			paused = true
			_ = l.clock.Sleep(ctx, pause)
			since = l.clock.Now()
			continue
		}
		for _, d := range requests {
			p.count++
			go func() {
				l.requestTokens(a, owners, d)
				p.finished <- struct{}{}
			}()
		}
		p.wait(ctx)
	}
	l.finish(a)
}

// pending tracks the in-flight token requests of a round; a slow one must not delay the round.
type pending struct {
	count    int
	finished chan struct{}
}

// wait returns when all token requests have finished, at the latest after slowRequestAfter.
func (p *pending) wait(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, slowRequestAfter.Duration())
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

// plan returns the token requests to send, or how long to pause until the owners may have earned the missing tokens.
func (l *Limiter) plan(a *account, since pomelo.Millis) ([]pomelo.OwnerGrantRequests, shardOwners, pomelo.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock.Now()
	owners := l.shardOwners(a.config)
	a.serve(now)
	requests := a.pool.PlanRequests(now, len(a.waiters), owners.names, since)
	if len(requests) > 0 || len(a.waiters) == 0 {
		return requests, owners, 0
	}
	if w := a.pool.WaitTime(now); w <= maxEarnWait {
		return nil, owners, w
	}
	return nil, owners, 0
}

func (l *Limiter) finish(a *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serve(l.clock.Now())
	for _, w := range a.waiters {
		w <- false
	}
	a.waiters = nil
	a.requesting = false
}

// serve admits waiting requests in order of arrival; the caller holds the account's lock.
func (a *account) serve(now pomelo.Millis) {
	for len(a.waiters) > 0 && a.pool.TryTake(now) {
		a.waiters[0] <- true
		a.waiters = a.waiters[1:]
	}
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
	owners := l.shardOwners(a.config)
	requests := a.pool.PlanReports(l.clock.Now(), owners.names)
	a.mu.Unlock()
	for _, d := range requests {
		go l.requestTokens(a, owners, d)
	}
}

func (l *Limiter) shardOwners(c pomelo.ClientAccount) shardOwners {
	n := pomelo.ShardCount(c)
	owners := shardOwners{members: make([]pomelo.Member, n), names: make([]string, n)}
	for i := range n {
		m, ok := l.ownership.Owner(shardResource(c, i))
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

// shardResource returns the resource name of a shard; the shards of another shard count are other resources.
func shardResource(c pomelo.ClientAccount, shard int) string {
	return "rate/" + c.Name + "/" + strconv.Itoa(pomelo.ShardCount(c)) + "/" + strconv.Itoa(shard)
}
