package rates

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/grant"
	"github.com/pomeloworks/pomelo/pool"
	"github.com/pomeloworks/pomelo/rank"
	"github.com/pomeloworks/pomelo/tiers"
)

// Times in milliseconds, and counts.
const (
	// maxTokenWait is the longest that a request waits for tokens.
	maxTokenWait = pomelo.Millis(300)
	// maxEarnWait is the longest wait for tokens that the shards have still to earn.
	maxEarnWait    = pomelo.Millis(60)
	requestTimeout = pomelo.Millis(150)
	// slowRequestAfter is the longest time that a round waits for its token requests before it sends requests to other owners.
	slowRequestAfter = pomelo.Millis(20)
	// maxRoundRequests exceeds the number of token requests that a round has in flight: at most one for each shard.
	maxRoundRequests = 64
	maxWaiters       = 256
	// maxFirstShard exceeds the number of shards of any account.
	maxFirstShard = 1_024
	// maxFailedShare is the share of unresponsive shard owners up to which a refusal counts as a sign that the account asks for more than its rate.
	maxFailedShare    = 0.25
	reportInterval    = pomelo.Millis(40)
	noOwnerRetryAfter = pomelo.Millis(1_000)
	idleTimeout       = pomelo.Millis(60_000)
)

const messageOverRate = "the client account is over its rate"

// Limiter implements pomelo.RateLimiter.
type Limiter struct {
	config    pomelo.Configuration
	ownership pomelo.TimedOwnership
	members   pomelo.Membership
	peers     pomelo.Peers
	clock     pomelo.MonotonicClock
	metrics   pomelo.Metrics
	mu        sync.Mutex
	accounts  map[string]*account
	// startID is random, so that nodes ask the shards of an account in different orders.
	startID   uint64
	bucketsMu sync.Mutex
	buckets   *grant.Buckets
	// known holds the rate and burst that this node's buckets were last told of, also of accounts that have been removed since; bucketsMu guards it.
	known map[string]knownAccount
}

// account is the state of one client account at this node.
type account struct {
	name       string
	mu         sync.Mutex
	pool       *pool.Pool
	tiers      *tiers.Tiers
	config     pomelo.ClientAccount
	waiters    []waiter
	lastWaiter uint64
	requesting bool
	lastUsed   pomelo.Millis
}

// New returns a Limiter; its grant IDs count up from startID, which must be random so that no two processes share grant IDs.
func New(config pomelo.Configuration, ownership pomelo.TimedOwnership, members pomelo.Membership, peers pomelo.Peers, clock pomelo.MonotonicClock, metrics pomelo.Metrics, startID uint64) *Limiter {
	return &Limiter{
		config:    config,
		ownership: ownership,
		members:   members,
		peers:     peers,
		clock:     clock,
		metrics:   metrics,
		accounts:  map[string]*account{},
		startID:   startID,
		buckets:   grant.New(startID),
		known:     map[string]knownAccount{},
	}
}

// Admit admits one request of the call's account, after a wait of at most maxTokenWait, or refuses it with the time after which to retry; KindNotAuthoritative means that no shard owner is known.
func (l *Limiter) Admit(ctx context.Context, call pomelo.Call) error {
	c, ok := l.config.Account(call.Account)
	if !ok {
		return pomelo.NewFault(pomelo.KindRateExceeded, "the client account has no rate", "ask the operators to set one")
	}
	a := l.account(c)
	a.mu.Lock()
	now := l.clock.Now()
	a.config = c
	a.lastUsed = now
	a.pool.SetAccount(c)
	importance := rank.Of(call).Importance
	if !a.tiers.Admits(now, importance, rand.Float64()) {
		defer a.mu.Unlock()
		l.metrics.Count("rates.refused_by_importance", 1)
		a.pool.CountRefused()
		return l.refuse(a, "the client account is over its rate, and its tokens go to more important requests")
	}
	a.pool.CountRequest(now)
	if len(a.waiters) == 0 && a.pool.TryTake(now) {
		a.tiers.RecordServed()
		if a.pool.NeedsTokens(now) {
			l.startRound(a)
		}
		a.mu.Unlock()
		return nil
	}
	if len(a.waiters) >= maxWaiters {
		defer a.mu.Unlock()
		a.recordRefused(now)
		return l.refuse(a, messageOverRate)
	}
	w := a.addWaiter(now, importance)
	l.startRound(a)
	a.mu.Unlock()
	return l.await(ctx, a, w)
}

// Refund returns the token that Admit used for a request that did not run.
func (l *Limiter) Refund(name string) {
	c, ok := l.config.Account(name)
	if !ok || c.Rate <= 0 {
		return
	}
	a := l.account(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.Refund(l.clock.Now())
}

// Run reports used tokens and returns unused ones to their owners until ctx is done.
func (l *Limiter) Run(ctx context.Context) {
	for l.clock.Sleep(ctx, reportInterval) == nil {
		for _, a := range l.active() {
			l.reportUse(a)
		}
	}
}

func (l *Limiter) account(c pomelo.ClientAccount) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[c.Name]
	if !ok {
		a = &account{name: c.Name, pool: pool.New(c, int(l.startID%maxFirstShard)), tiers: tiers.New(), config: c}
		l.accounts[c.Name] = a
	}
	return a
}

// active returns the accounts in use and drops idle ones.
func (l *Limiter) active() []*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []*account
	for name, a := range l.accounts {
		a.mu.Lock()
		idle := now-a.lastUsed > idleTimeout && !a.requesting
		a.mu.Unlock()
		if idle {
			delete(l.accounts, name)
			continue
		}
		out = append(out, a)
	}
	return out
}

func (l *Limiter) await(ctx context.Context, a *account, w waiter) error {
	select {
	case admitted := <-w.admitted:
		if admitted {
			return nil
		}
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return l.refuse(a, messageOverRate)
}

// refuse returns the refusal with the time after which the shard owners may have tokens again.
func (l *Limiter) refuse(a *account, message string) error {
	if _, ok := l.ownership.Owner(shardResource(a.name, 0)); !ok {
		f := pomelo.NewFault(pomelo.KindNotAuthoritative, "no home of the client account's rate is known", "come back after the given time, or send the request to another node")
		f.RetryAfter = noOwnerRetryAfter
		return f
	}
	l.metrics.Count("rates.refused", 1)
	f := pomelo.NewFault(pomelo.KindRateExceeded, message, "send fewer requests, or come back after the given time")
	f.RetryAfter = a.pool.RetryAfter(l.clock.Now(), rand.Float64())
	return f
}
