package grant

import (
	"math"

	"github.com/pomeloworks/pomelo"
)

// MaxTTL is the maximum lifetime of a grant in milliseconds, counted by the requesting node from when it sent the request.
const MaxTTL = pomelo.Millis(600)

const (
	// driftFraction is the fraction by which the bucket fills slower than its rate, for clocks that run at different speeds.
	driftFraction       = 0.001
	expiryMarginDivisor = 50
	minExpiryMargin     = pomelo.Millis(5)
	millisPerSecond     = 1_000
	requestsPerSweep    = 4_096
)

// Buckets is the set of shards that this node owns; it is not safe for concurrent use, and its times are monotonic.
type Buckets struct {
	buckets  map[string]*bucket
	lastID   uint64
	requests int
}

// bucket is the token bucket of one shard; ownedSince identifies the ownership during which it was created.
type bucket struct {
	ownedSince  pomelo.Millis
	rate        float64
	burst       float64
	tokens      float64
	filledAt    pomelo.Millis
	outstanding float64
	// excess is the number of tokens, granted ones included, that the bucket may hold above its burst because the account's burst was cut into more shards; it falls by drainFactor times what the bucket would earn, as fast as the other shards fill.
	excess      float64
	drainFactor float64
	grants      map[uint64]outstandingGrant
	firstExpiry pomelo.Millis
}

// outstandingGrant is an outstanding grant; used is the number of its tokens that have been reported as used.
type outstandingGrant struct {
	tokens    float64
	used      float64
	expiresAt pomelo.Millis
}

// ownership is this node's ownership of a shard: since identifies it, and duration is measured by the monotonic clock.
type ownership struct {
	since    pomelo.Millis
	duration pomelo.Millis
}

// New returns an empty set of shards; grant IDs count up from the one after startID and must not be used by another process of this VM.
func New(startID uint64) *Buckets {
	return &Buckets{buckets: map[string]*bucket{}, lastID: startID}
}

// Issue answers a request for tokens of the shard that the resource names; since and ownedFor describe this node's ownership of it, and now is the monotonic time.
func (b *Buckets) Issue(now, since, ownedFor pomelo.Millis, resource string, limits pomelo.RateShard, request pomelo.GrantRequest) pomelo.Grant {
	b.sweep(now)
	shard := b.bucket(now, ownership{since: since, duration: ownedFor}, resource, limits)
	shard.applyLimits(now, limits)
	for _, u := range request.Used {
		shard.applyReport(u)
	}
	g := pomelo.Grant{Account: request.Account, Shard: request.Shard}
	g.Tokens = shard.withdraw(request.Tokens)
	if g.Tokens > 0 {
		b.lastID++
		g.ID = b.lastID
		shard.addGrant(g.ID, g.Tokens, now+ownerExpiry(min(request.TTL, MaxTTL)))
	}
	g.TokensLeft = shard.tokens
	g.StartsIn = max(0, shard.filledAt-now)
	return g
}

// bucket returns the shard's bucket; a new owner's bucket starts with the tokens earned since all grants of the previous owner have expired. What an earlier ownership of this process has granted stays used.
func (b *Buckets) bucket(now pomelo.Millis, o ownership, resource string, limits pomelo.RateShard) *bucket {
	shard, ok := b.buckets[resource]
	if ok && shard.ownedSince == o.since {
		return shard
	}
	fresh := &bucket{ownedSince: o.since, filledAt: now - (o.duration - ownerExpiry(MaxTTL)), rate: limits.Rate, burst: limits.Burst, grants: map[uint64]outstandingGrant{}}
	if ok {
		shard.reown(now, fresh)
		return shard
	}
	b.buckets[resource] = fresh
	return fresh
}

// reown continues the bucket in another ownership, in which it has earned no more than a fresh one.
func (b *bucket) reown(now pomelo.Millis, fresh *bucket) {
	b.advance(now)
	fresh.advance(now)
	b.ownedSince = fresh.ownedSince
	b.tokens = min(b.tokens, fresh.tokens)
	b.filledAt = max(b.filledAt, fresh.filledAt)
}

// applyLimits fills the bucket up to now and then applies a changed rate and burst.
func (b *bucket) applyLimits(now pomelo.Millis, limits pomelo.RateShard) {
	b.advance(now)
	if b.rate == limits.Rate && b.burst == limits.Burst {
		return
	}
	b.rate = limits.Rate
	b.burst = limits.Burst
	b.excess = 0
	b.clip()
}

// clip removes the tokens for which there is no room.
func (b *bucket) clip() {
	b.tokens = max(0, min(b.tokens, b.burst+b.excess-b.outstanding))
}

// advance adds the tokens earned up to now; a grant that expires in between frees room only from its expiry on.
func (b *bucket) advance(now pomelo.Millis) {
	for b.firstExpiry > 0 && b.firstExpiry <= now {
		b.refill(b.firstExpiry)
		b.expireGrants(b.firstExpiry)
	}
	b.refill(now)
}

func (b *bucket) refill(now pomelo.Millis) {
	d := now - b.filledAt
	if d <= 0 {
		return
	}
	b.filledAt = now
	earned := b.rate * (1 - driftFraction) * float64(d) / millisPerSecond
	b.excess = max(0, b.excess-b.drainFactor*b.rate*float64(d)/millisPerSecond)
	b.tokens = max(b.tokens, min(b.tokens+earned, b.burst-b.outstanding))
	b.clip()
}

func (b *bucket) expireGrants(now pomelo.Millis) {
	b.firstExpiry = 0
	for id, g := range b.grants {
		if g.expiresAt <= now {
			b.outstanding -= g.tokens - g.used
			delete(b.grants, id)
			continue
		}
		b.updateFirstExpiry(g.expiresAt)
	}
	if len(b.grants) == 0 {
		b.outstanding = 0
	}
}

// applyReport frees the room of used tokens and returns the unused tokens of a finished grant to the bucket; a repeated report, or one for an expired grant, changes nothing.
func (b *bucket) applyReport(u pomelo.GrantUsage) {
	g, ok := b.grants[u.ID]
	if !ok || math.IsNaN(u.Used) {
		return
	}
	used := min(max(u.Used, g.used), g.tokens)
	b.outstanding = max(0, b.outstanding-(used-g.used))
	b.excess = max(0, min(b.excess, b.tokens+b.outstanding-b.burst))
	g.used = used
	b.grants[u.ID] = g
	if !u.Finished {
		return
	}
	delete(b.grants, u.ID)
	unused := g.tokens - g.used
	b.outstanding = max(0, b.outstanding-unused)
	b.tokens += unused
	b.clip()
}

func (b *bucket) withdraw(want float64) float64 {
	n := min(want, b.tokens)
	if !(n > 0) {
		return 0
	}
	b.tokens -= n
	b.outstanding += n
	return n
}

func (b *bucket) addGrant(id uint64, tokens float64, expiresAt pomelo.Millis) {
	b.grants[id] = outstandingGrant{tokens: tokens, expiresAt: expiresAt}
	b.updateFirstExpiry(expiresAt)
}

func (b *bucket) updateFirstExpiry(expiresAt pomelo.Millis) {
	if b.firstExpiry == 0 || expiresAt < b.firstExpiry {
		b.firstExpiry = expiresAt
	}
}

// sweep drops full buckets without outstanding grants: if requested again they are created with as many tokens.
func (b *Buckets) sweep(now pomelo.Millis) {
	b.requests++
	if b.requests%requestsPerSweep != 0 {
		return
	}
	for resource, shard := range b.buckets {
		shard.advance(now)
		if len(shard.grants) == 0 && shard.tokens >= shard.burst {
			delete(b.buckets, resource)
		}
	}
}

// ownerExpiry returns after how long the owner treats a grant as expired: later than the node that uses it, by whose clock it expires after ttl.
func ownerExpiry(ttl pomelo.Millis) pomelo.Millis {
	return ttl + max(ttl/expiryMarginDivisor, minExpiryMargin)
}
