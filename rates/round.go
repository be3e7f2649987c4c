package rates

import (
	"context"
	"strconv"

	"github.com/pomeloworks/pomelo"
)

// homesOf are the members that an account's parts belong to, by part, and their names for the pool.
type homesOf struct {
	members []pomelo.Member
	names   []string
}

// start begins a round of draws unless one runs; the account is locked.
func (l *Limiter) start(a *account) {
	if a.drawing {
		return
	}
	a.drawing = true
	go l.round(a)
}

// round asks homes until every waiting request is served or there is no one left to ask, pauses once at most, and then refuses the rest.
func (l *Limiter) round(a *account) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit.Duration())
	defer cancel()
	since := l.clock.Now()
	paused := false
	p := pending{ended: make(chan struct{}, drawsMost)}
	for ctx.Err() == nil {
		draws, h, pause := l.plan(a, since)
		if len(draws) == 0 && p.count == 0 {
			if pause == 0 || paused {
				break
			}
			paused = true
			_ = l.clock.Sleep(ctx, pause)
			since = l.clock.Now()
			continue
		}
		for _, d := range draws {
			p.count++
			go func() {
				l.draw(a, h, d)
				p.ended <- struct{}{}
			}()
		}
		p.wait(ctx)
	}
	l.finish(a)
}

// pending are draws under way; a slow one must not hold the round up.
type pending struct {
	count int
	ended chan struct{}
}

// wait returns when all draws have ended, after a while at most.
func (p *pending) wait(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, slowAfter.Duration())
	defer cancel()
	for p.count > 0 {
		select {
		case <-p.ended:
			p.count--
		case <-ctx.Done():
			return
		}
	}
}

// plan returns what to ask, or how long to pause until the homes may have earned what is missing.
func (l *Limiter) plan(a *account, since pomelo.Millis) ([]pomelo.OwnerGrantRequests, homesOf, pomelo.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock.Now()
	h := l.homes(a.config)
	a.serve(now)
	draws := a.pool.Plan(now, len(a.waiters), h.names, since)
	if len(draws) > 0 || len(a.waiters) == 0 {
		return draws, h, 0
	}
	if w := a.pool.Wait(now); w <= shortWait {
		return nil, h, w
	}
	return nil, h, 0
}

func (l *Limiter) finish(a *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serve(l.clock.Now())
	for _, w := range a.waiters {
		w <- false
	}
	a.waiters = nil
	a.drawing = false
}

// serve admits waiting requests in their order; the account is locked.
func (a *account) serve(now pomelo.Millis) {
	for len(a.waiters) > 0 && a.pool.Take(now) {
		a.waiters[0] <- true
		a.waiters = a.waiters[1:]
	}
}

// draw asks one home and gives what it grants to the waiting requests.
func (l *Limiter) draw(a *account, h homesOf, d pomelo.OwnerGrantRequests) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout.Duration())
	defer cancel()
	asked := l.clock.Now()
	reply, err := l.ask(ctx, h.member(d.Owner), d)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock.Now()
	if err != nil {
		for _, k := range d.Requests {
			a.pool.Failed(now, k.Shard)
		}
		return
	}
	for i, g := range reply.Grants {
		if g.Moved {
			a.pool.Failed(now, g.Shard)
			continue
		}
		a.pool.Got(asked, now, d.Requests[min(i, len(d.Requests)-1)].TTL, g)
	}
	a.serve(now)
}

func (l *Limiter) ask(ctx context.Context, m pomelo.Member, d pomelo.OwnerGrantRequests) (pomelo.GrantReply, error) {
	if m.Incarnation == l.members.Self().Incarnation {
		return l.grantAll(d.Requests), nil
	}
	l.metrics.Count("rates.messages", 1)
	var r pomelo.GrantReply
	err := l.peers.Request(ctx, m, pomelo.MessageGrant, pomelo.GrantBatch{Requests: d.Requests}, &r)
	return r, err
}

// giveBack reports grants that are used up or end soon.
func (l *Limiter) giveBack(a *account) {
	a.mu.Lock()
	h := l.homes(a.config)
	draws := a.pool.Returns(l.clock.Now(), h.names)
	a.mu.Unlock()
	for _, d := range draws {
		go l.draw(a, h, d)
	}
}

func (l *Limiter) homes(c pomelo.ClientAccount) homesOf {
	n := pomelo.ShardCount(c)
	h := homesOf{members: make([]pomelo.Member, n), names: make([]string, n)}
	for i := range n {
		m, ok := l.standing.Owner(rightOf(c, i))
		if ok {
			h.members[i] = m
			h.names[i] = m.VM + " " + m.Incarnation
		}
	}
	return h
}

func (h homesOf) member(name string) pomelo.Member {
	for i := range h.names {
		if h.names[i] == name {
			return h.members[i]
		}
	}
	return pomelo.Member{}
}

// rightOf names a part as pomelo.Standing knows it; parts of another number are other rights.
func rightOf(c pomelo.ClientAccount, part int) string {
	return "rate/" + c.Name + "/" + strconv.Itoa(pomelo.ShardCount(c)) + "/" + strconv.Itoa(part)
}
