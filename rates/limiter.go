package rates

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/grant"
	"github.com/pomeloworks/pomelo/pool"
)

// Times in milliseconds, and counts.
const (
	// waitLimit bounds how long a request waits for tokens.
	waitLimit = pomelo.Millis(300)
	// shortWait is the longest wait for tokens that have still to be earned.
	shortWait  = pomelo.Millis(60)
	askTimeout = pomelo.Millis(150)
	// slowAfter is how long a round waits for its draws before it asks others.
	slowAfter = pomelo.Millis(20)
	// drawsMost is more than the draws of one round, each of which asks a home once.
	drawsMost   = 64
	waitersMost = 256
	returnEach  = pomelo.Millis(40)
	noHomeAfter = pomelo.Millis(1_000)
	idleFor     = pomelo.Millis(60_000)
	// returnSpread is the time over which refused requests come back, long enough for a bucket to earn some tokens.
	returnSpread = pomelo.Millis(600)
)

// Limiter implements pomelo.RateLimiter.
type Limiter struct {
	config   pomelo.Configuration
	standing pomelo.TimedOwnership
	members  pomelo.Membership
	peers    pomelo.Peers
	clock    pomelo.MonotonicClock
	metrics  pomelo.Metrics
	mu       sync.Mutex
	accounts map[string]*account
	bookMu   sync.Mutex
	book     *grant.Book
}

// account is one client account at this node.
type account struct {
	name    string
	mu      sync.Mutex
	pool    *pool.Pool
	config  pomelo.ClientAccount
	waiters []chan bool
	drawing bool
	sought  pomelo.Millis
}

// New returns a limiter; first is the first number of its grants, to be random so that no two processes share numbers.
func New(config pomelo.Configuration, standing pomelo.TimedOwnership, members pomelo.Membership, peers pomelo.Peers, clock pomelo.MonotonicClock, metrics pomelo.Metrics, first uint64) *Limiter {
	return &Limiter{
		config:   config,
		standing: standing,
		members:  members,
		peers:    peers,
		clock:    clock,
		metrics:  metrics,
		accounts: map[string]*account{},
		book:     grant.New(first),
	}
}

// Admit takes one request of the account, waiting a moment at most, or refuses it with the time to come back; KindNoStanding says that no home can be reached.
func (l *Limiter) Admit(ctx context.Context, name string) error {
	c, ok := l.config.Account(name)
	if !ok {
		return pomelo.NewFault(pomelo.KindRateExceeded, "the client account has no rate", "ask the operators to set one")
	}
	a := l.account(c)
	a.mu.Lock()
	now := l.clock.Now()
	a.config = c
	a.sought = now
	a.pool.Set(c)
	a.pool.Seek(now)
	if len(a.waiters) == 0 && a.pool.Take(now) {
		if a.pool.Low(now) {
			l.start(a)
		}
		a.mu.Unlock()
		return nil
	}
	if len(a.waiters) >= waitersMost {
		defer a.mu.Unlock()
		return l.refuse(a)
	}
	w := make(chan bool, 1)
	a.waiters = append(a.waiters, w)
	l.start(a)
	a.mu.Unlock()
	return l.await(ctx, a, w)
}

// Refund gives back what Admit took for a request that did not run.
func (l *Limiter) Refund(name string) {
	c, ok := l.config.Account(name)
	if !ok {
		return
	}
	a := l.account(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.Refund(l.clock.Now())
}

// Run reports used grants and returns unused ones until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	for l.clock.Sleep(ctx, returnEach) == nil {
		for _, a := range l.active() {
			l.giveBack(a)
		}
	}
}

func (l *Limiter) account(c pomelo.ClientAccount) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[c.Name]
	if !ok {
		a = &account{name: c.Name, pool: pool.New(c), config: c}
		l.accounts[c.Name] = a
	}
	return a
}

// active lists the accounts that are in use and forgets those that are not.
func (l *Limiter) active() []*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []*account
	for name, a := range l.accounts {
		a.mu.Lock()
		idle := now-a.sought > idleFor && !a.drawing
		a.mu.Unlock()
		if idle {
			delete(l.accounts, name)
			continue
		}
		out = append(out, a)
	}
	return out
}

func (l *Limiter) await(ctx context.Context, a *account, w chan bool) error {
	select {
	case admitted := <-w:
		if admitted {
			return nil
		}
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return l.refuse(a)
}

// refuse says when the homes may have tokens again.
func (l *Limiter) refuse(a *account) error {
	if _, ok := l.standing.Owner(rightOf(a.config, 0)); !ok {
		f := pomelo.NewFault(pomelo.KindNotAuthoritative, "no home of the client account's rate is known", "come back after the given time, or send the request to another node")
		f.RetryAfter = noHomeAfter
		return f
	}
	l.metrics.Count("rates.refused", 1)
	f := pomelo.NewFault(pomelo.KindRateExceeded, "the client account is over its rate", "send fewer requests, or come back after the given time")
	// Callers that are refused together must not come back together.
	f.RetryAfter = a.pool.Wait(l.clock.Now()) + pomelo.Millis(rand.Float64()*float64(returnSpread))
	return f
}
