package pool

import (
	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds, and tokens.
const (
	// onceTTL is the life of a grant for requests that wait for it; homes have the room back soon after.
	onceTTL     = pomelo.Millis(150)
	longestTTL  = pomelo.Millis(600)
	horizon     = pomelo.Millis(225)
	horizonPart = 0.25 // of the time in which the burst is earned
	closeAhead  = pomelo.Millis(60)
	badFor      = pomelo.Millis(500)
	againAfter  = pomelo.Millis(15)
	// reportShare is the part of a part's burst whose use is reported without waiting for the next draw.
	reportShare = 0.1
	// othersShare is the part of a home's rate that is counted on when others draw from it as well.
	othersShare = 0.3
	dust        = 1e-9
	whole       = 1 - 1e-9
	drawShare   = 0.25 // of a part's burst in one draw
	millis      = 1_000
)

// Pool is one account's tokens at one node; it is not safe for concurrent use.
type Pool struct {
	account pomelo.ClientAccount
	parts   []partState
	demand  demand
}

// partState is what this node knows of one part: the grants it holds, and the home's level when it last answered.
type partState struct {
	holds   []hold
	reports []pomelo.GrantUsage
	// due is how much of the reports frees room sooner than its expiry would.
	due   float64
	level float64
	at    pomelo.Millis
	asked pomelo.Millis
	// badUntil is until when the part is left out because its home gave no answer, or no longer has it.
	badUntil pomelo.Millis
}

type hold struct {
	id     uint64
	tokens float64
	used   float64
	// reported is how much of used the home has been told.
	reported float64
	until    pomelo.Millis
}

// New returns an empty pool.
func New(a pomelo.ClientAccount) *Pool {
	p := &Pool{account: a}
	p.parts = make([]partState, pomelo.ShardCount(a))
	for i := range p.parts {
		// Before its first answer a home is taken for full.
		p.parts[i].level = pomelo.ShardOf(a).Burst
		p.parts[i].asked = -1
	}
	return p
}

// Set follows a change of the account's rate and burst; a change of the number of parts drops what was drawn.
func (p *Pool) Set(a pomelo.ClientAccount) {
	if a == p.account {
		return
	}
	if pomelo.ShardCount(a) != len(p.parts) {
		*p = *New(a)
		return
	}
	p.account = a
}

// Seek counts one request that asks to be admitted.
func (p *Pool) Seek(now pomelo.Millis) {
	p.demand.add(now)
}

// Take uses the tokens of one whole request, if there are as many.
func (p *Pool) Take(now pomelo.Millis) bool {
	if p.Left(now) < whole {
		return false
	}
	need := 1.0
	for need > 1-whole {
		h := p.soonest(now)
		if h == nil {
			return true
		}
		n := min(need, h.tokens-h.used)
		h.used += n
		need -= n
	}
	return true
}

// Refund gives the token of a request that did not run back to a grant that still holds, as far as its home has not been told of the use; else the token is lost.
func (p *Pool) Refund(now pomelo.Millis) bool {
	for i := range p.parts {
		for j := range p.parts[i].holds {
			h := &p.parts[i].holds[j]
			if now < h.until && h.used-h.reported >= whole {
				h.used--
				return true
			}
		}
	}
	return false
}

// Left is how many tokens may be used at now.
func (p *Pool) Left(now pomelo.Millis) float64 {
	n := 0.0
	for i := range p.parts {
		for _, h := range p.parts[i].holds {
			if now < h.until {
				n += h.tokens - h.used
			}
		}
	}
	return n
}

// soonest is the usable grant that ends first.
func (p *Pool) soonest(now pomelo.Millis) *hold {
	var best *hold
	for i := range p.parts {
		for j := range p.parts[i].holds {
			h := &p.parts[i].holds[j]
			if now >= h.until || h.tokens-h.used < dust {
				continue
			}
			if best == nil || h.until < best.until {
				best = h
			}
		}
	}
	return best
}

// Got takes a home's answer to an ask that was sent at the clock's reading asked, for grants of ttl milliseconds.
func (p *Pool) Got(asked, now, ttl pomelo.Millis, g pomelo.Grant) {
	if g.Shard < 0 || g.Shard >= len(p.parts) {
		return
	}
	s := &p.parts[g.Shard]
	s.level = g.TokensLeft
	s.at = now
	if g.Tokens > 0 && now < asked+ttl {
		s.holds = append(s.holds, hold{id: g.ID, tokens: g.Tokens, until: asked + ttl})
	}
}

// Failed notes that the part's home gave no answer, or no longer has it, so that others are asked for a while.
func (p *Pool) Failed(now pomelo.Millis, part int) {
	if part >= 0 && part < len(p.parts) {
		p.parts[part].badUntil = now + badFor
	}
}
