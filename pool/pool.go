package pool

import (
	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds, and tokens.
const (
	// waitingTTL is the lifetime of a grant for requests that wait for it; the owner has the room back soon after.
	waitingTTL           = pomelo.Millis(150)
	maxTTL               = pomelo.Millis(600)
	maxHorizon           = pomelo.Millis(225)
	horizonBurstFraction = 0.25 // fraction of the time in which the burst is earned
	expiryMargin         = pomelo.Millis(60)
	failureBackoff       = pomelo.Millis(500)
	minRetryAfter        = pomelo.Millis(15)
	// retrySpread is the time over which refused callers come back, long enough for a bucket to earn some tokens: callers that are refused together must not retry together.
	retrySpread = pomelo.Millis(600)
	// backlogFactor is the time in which an account that usually asks for two thirds of its rate catches up with a time without tokens, as a multiple of that time.
	backlogFactor = 2
	// reportFraction is the fraction of a shard's burst whose use is reported without waiting for the next token request.
	reportFraction = 0.1
	// minReturn is the number of unused tokens that are returned without waiting for the next token request.
	minReturn = 0.1
	// probeInterval is the time, in milliseconds, after which a request that waits makes its node ask an owner that is not expected to have a token: only answers show that there are more than expected.
	probeInterval = pomelo.Millis(200)
	// refusedWeight is the weight of one request in the share of refused ones.
	refusedWeight = 0.05
	// wholeTokenShare is the share of refused requests from which only shards with a whole token are asked.
	wholeTokenShare = 0.25
	minTokens       = 1e-9
	oneToken        = 1 - 1e-9
	requestFraction = 0.25 // fraction of a shard's burst in one token request
	millisPerSecond = 1_000
)

// Pool is the set of one account's tokens at one node; it is not safe for concurrent use.
type Pool struct {
	account pomelo.ClientAccount
	// shards are all shards of the account; only the first active ones are asked for tokens.
	shards [pomelo.MaxShards]shardState
	active int
	demand demand
	yield  yield
	// firstShard comes first among shards with the same number of expected tokens; it differs between nodes.
	firstShard int
	// refusedShare is an exponential moving average of the share of requests that found no token.
	refusedShare float64
}

// shardState is the state of one shard at this node: its grants, and the tokens left according to the owner's last answer.
type shardState struct {
	grants  []heldGrant
	reports []pomelo.GrantUsage
	// dueTokens is the number of tokens in reports that free room at the owner sooner than by expiry.
	dueTokens float64
	// unusedTokens is the number of tokens in reports that the owner can grant again.
	unusedTokens float64
	tokensLeft   float64
	tokensLeftAt pomelo.Millis
	requestedAt  pomelo.Millis
	// startsAt is the time from which the shard earns tokens; it lies in the future if its owner has just taken it over.
	startsAt pomelo.Millis
	// failedUntil is the time until which the shard is left out because its owner was unresponsive or has changed.
	failedUntil pomelo.Millis
}

type heldGrant struct {
	id     uint64
	tokens float64
	used   float64
	// reported is the number of used tokens that have been reported to the owner.
	reported  float64
	expiresAt pomelo.Millis
}

// New returns an empty pool; firstShard is the shard that it asks first, and should differ between nodes.
func New(a pomelo.ClientAccount, firstShard int) *Pool {
	p := &Pool{account: a, active: pomelo.ShardCount(a), yield: 1, firstShard: firstShard}
	for i := range p.shards {
		p.expectFull(i)
	}
	return p
}

// expectFull makes a shard count as full until its owner's next answer.
func (p *Pool) expectFull(shard int) {
	p.shards[shard].tokensLeft = pomelo.ShardOf(p.account, shard).Burst
	p.shards[shard].requestedAt = -1
}

// SetAccount applies a change of the account's rate and burst; the grants stay usable.
func (p *Pool) SetAccount(a pomelo.ClientAccount) {
	if a == p.account {
		return
	}
	previous := p.active
	p.account = a
	p.active = pomelo.ShardCount(a)
	for i := previous; i < p.active; i++ {
		p.expectFull(i)
	}
}

// Concerns reports whether the pool may have something to tell the shard's owner.
func (p *Pool) Concerns(shard int) bool {
	s := &p.shards[shard]
	return shard < p.active || len(s.grants) > 0 || len(s.reports) > 0
}

// limits returns the rate and burst of each shard that is in use.
func (p *Pool) limits() pomelo.RateShard {
	return pomelo.ShardOf(p.account, 0)
}

// CountRequest counts one request towards the expected demand.
func (p *Pool) CountRequest(now pomelo.Millis) {
	p.demand.add(now)
}

// CountRefused counts one request that was refused because no token was found for it in time.
func (p *Pool) CountRefused() {
	p.refusedShare += refusedWeight * (1 - p.refusedShare)
}

// TryTake uses the tokens of one request and returns true, or returns false if there are too few.
func (p *Pool) TryTake(now pomelo.Millis) bool {
	if p.Available(now) < oneToken {
		return false
	}
	p.refusedShare -= refusedWeight * p.refusedShare
	need := 1.0
	for need > 1-oneToken {
		g := p.firstExpiring(now)
		if g == nil {
			return true
		}
		n := min(need, g.tokens-g.used)
		g.used += n
		need -= n
	}
	return true
}

// Refund returns the token of a request that did not run to an unexpired grant whose owner has not been told of the use, and reports whether there is one; otherwise the token is lost.
func (p *Pool) Refund(now pomelo.Millis) bool {
	for i := range p.shards {
		for j := range p.shards[i].grants {
			g := &p.shards[i].grants[j]
			if now < g.expiresAt && g.used-g.reported >= oneToken {
				g.used--
				return true
			}
		}
	}
	return false
}

// Available returns how many tokens may be used at now.
func (p *Pool) Available(now pomelo.Millis) float64 {
	n := 0.0
	for i := range p.shards {
		for _, g := range p.shards[i].grants {
			if now < g.expiresAt {
				n += g.tokens - g.used
			}
		}
	}
	return n
}

// firstExpiring returns the usable grant that expires first, or nil.
func (p *Pool) firstExpiring(now pomelo.Millis) *heldGrant {
	var best *heldGrant
	for i := range p.shards {
		for j := range p.shards[i].grants {
			g := &p.shards[i].grants[j]
			if now >= g.expiresAt || g.tokens-g.used < minTokens {
				continue
			}
			if best == nil || g.expiresAt < best.expiresAt {
				best = g
			}
		}
	}
	return best
}

// ApplyGrant applies an owner's answer to a token request that was sent at requestedAt, for a grant of ttl milliseconds.
func (p *Pool) ApplyGrant(requestedAt, now, ttl pomelo.Millis, g pomelo.Grant) {
	if g.Shard < 0 || g.Shard >= len(p.shards) {
		return
	}
	s := &p.shards[g.Shard]
	p.yield.update(p.expectedAlone(requestedAt, g.Shard), g)
	s.tokensLeft = g.TokensLeft
	s.tokensLeftAt = now
	s.startsAt = now + g.StartsIn
	if g.Tokens > 0 && now < requestedAt+ttl {
		s.grants = append(s.grants, heldGrant{id: g.ID, tokens: g.Tokens, expiresAt: requestedAt + ttl})
	}
}

// MarkFailed records that the shard's owner was unresponsive or has changed, so that other shards are preferred for failureBackoff.
func (p *Pool) MarkFailed(now pomelo.Millis, shard int) {
	if shard >= 0 && shard < len(p.shards) {
		p.shards[shard].failedUntil = now + failureBackoff
	}
}
