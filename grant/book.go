package grant

import (
	"math"

	"github.com/pomeloworks/pomelo"
)

// LongestTTL is the longest life of a grant in milliseconds, counted by the asking node from when it asked.
const LongestTTL = pomelo.Millis(600)

const (
	// driftShare is how much slower the bucket fills, and later a grant is taken as expired, than by the clock.
	driftShare     = 0.001
	expiryShare    = 50
	expiryLeast    = pomelo.Millis(5)
	millisASecond  = 1_000
	sweepEachDraws = 4_096
)

// Book is all parts at this home; it is not safe for concurrent use, and its time is a steady clock that is never set.
type Book struct {
	parts map[string]*part
	next  uint64
	draws int
}

// part is a bucket; since tells one tenure of this home from the next.
type part struct {
	since       pomelo.Millis
	rate        float64
	burst       float64
	tokens      float64
	filled      pomelo.Millis
	outstanding float64
	grants      map[uint64]granted
	firstEnd    pomelo.Millis
}

// granted is what of a grant has not been reported as used.
type granted struct {
	tokens float64
	used   float64
	end    pomelo.Millis
}

// tenure is a home's hold on a part: Since names it, and Held is how long it has lasted by the steady clock.
type tenure struct {
	since pomelo.Millis
	held  pomelo.Millis
}

// New returns a book; first is the first grant's number, which must not be used by another process of this VM.
func New(first uint64) *Book {
	return &Book{parts: map[string]*part{}, next: first}
}

// Draw answers an ask for the part that the right names; since and held are of this home's hold on it, now is the steady clock's reading.
func (b *Book) Draw(now, since, held pomelo.Millis, right string, of pomelo.RateShard, ask pomelo.GrantRequest) pomelo.Grant {
	b.sweep(now)
	p := b.part(now, tenure{since: since, held: held}, right, of)
	p.set(now, of)
	for _, u := range ask.Used {
		p.report(u)
	}
	g := pomelo.Grant{Account: ask.Account, Shard: ask.Shard}
	g.Tokens = p.give(ask.Tokens)
	if g.Tokens > 0 {
		b.next++
		g.ID = b.next
		p.keep(g.ID, g.Tokens, now+endOf(min(ask.TTL, LongestTTL)))
	}
	g.TokensLeft = p.tokens
	return g
}

// part takes a part over with what it has earned since the grants of the home before have ended.
func (b *Book) part(now pomelo.Millis, t tenure, right string, of pomelo.RateShard) *part {
	p, ok := b.parts[right]
	if ok && p.since == t.since {
		return p
	}
	p = &part{since: t.since, filled: now, grants: map[uint64]granted{}}
	earned := t.held - endOf(LongestTTL)
	p.filled = now - earned
	p.rate = of.Rate
	p.burst = of.Burst
	b.parts[right] = p
	return p
}

// set brings the bucket up to now, and then takes on a changed rate and burst.
func (p *part) set(now pomelo.Millis, of pomelo.RateShard) {
	p.fill(now)
	p.rate = of.Rate
	p.burst = of.Burst
	p.tokens = max(0, min(p.tokens, p.burst-p.outstanding))
}

// fill adds what was earned; a grant that ends in between makes room only from its end on.
func (p *part) fill(now pomelo.Millis) {
	for p.firstEnd > 0 && p.firstEnd <= now {
		p.earn(p.firstEnd)
		p.expire(p.firstEnd)
	}
	p.earn(now)
}

func (p *part) earn(now pomelo.Millis) {
	d := now - p.filled
	if d <= 0 {
		return
	}
	p.filled = now
	more := p.rate * (1 - driftShare) * float64(d) / millisASecond
	p.tokens = max(0, min(p.tokens+more, p.burst-p.outstanding))
}

func (p *part) expire(now pomelo.Millis) {
	p.firstEnd = 0
	for id, g := range p.grants {
		if g.end <= now {
			p.outstanding -= g.tokens - g.used
			delete(p.grants, id)
			continue
		}
		p.soonest(g.end)
	}
	if len(p.grants) == 0 {
		p.outstanding = 0
	}
}

// report makes room for what was used, and takes back the rest of a grant that is done; a repeat, or a grant that has expired, changes nothing.
func (p *part) report(u pomelo.GrantUsage) {
	g, ok := p.grants[u.ID]
	if !ok || math.IsNaN(u.Used) {
		return
	}
	used := min(max(u.Used, g.used), g.tokens)
	p.outstanding = max(0, p.outstanding-(used-g.used))
	g.used = used
	p.grants[u.ID] = g
	if !u.Finished {
		return
	}
	delete(p.grants, u.ID)
	back := g.tokens - g.used
	p.outstanding = max(0, p.outstanding-back)
	p.tokens = max(0, min(p.tokens+back, p.burst-p.outstanding))
}

func (p *part) give(want float64) float64 {
	n := min(want, p.tokens)
	if !(n > 0) {
		return 0
	}
	p.tokens -= n
	p.outstanding += n
	return n
}

func (p *part) keep(id uint64, tokens float64, end pomelo.Millis) {
	p.grants[id] = granted{tokens: tokens, end: end}
	p.soonest(end)
}

func (p *part) soonest(end pomelo.Millis) {
	if p.firstEnd == 0 || end < p.firstEnd {
		p.firstEnd = end
	}
}

// sweep forgets parts that are full and owe nothing: a part that is seen first is as full as it can be by then.
func (b *Book) sweep(now pomelo.Millis) {
	b.draws++
	if b.draws%sweepEachDraws != 0 {
		return
	}
	for right, p := range b.parts {
		p.fill(now)
		if len(p.grants) == 0 && p.tokens >= p.burst {
			delete(b.parts, right)
		}
	}
}

// endOf is when the home takes a grant as ended: later than the node that uses it, by whose clock it ends after ttl.
func endOf(ttl pomelo.Millis) pomelo.Millis {
	return ttl + max(ttl/expiryShare, expiryLeast)
}
