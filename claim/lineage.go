package claim

import (
	"context"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

// predates reports whether the key may have been claimed at an owner before this one, or longer ago than claims are kept.
func (b *Book) predates(right, key string, now, floor pomelo.Millis) bool {
	since := b.since(right)
	if floor != noFloor {
		since = min(since, floor)
	}
	at, ok := timeOf(key)
	if b.isFirst(right) {
		return ok && at < now-b.life+b.skew
	}
	if !ok {
		return now < since+b.life
	}
	return at < since+b.skew || at < now-b.life+b.skew
}

// isFirst reports whether the right has had no owner before, so that no key of it can have been claimed.
func (b *Book) isFirst(right string) bool {
	l, ok := b.standing.(pomelo.OwnershipHistory)
	if !ok {
		return false
	}
	_, had := l.PreviousOwner(right)
	return !had
}

// since is when this node's knowledge of the right's keys begins.
func (b *Book) since(right string) pomelo.Millis {
	since := b.standing.OwnedSince(right)
	if m, ok := b.before(right); ok {
		if s, ok := b.inherited[processOf(m)]; ok {
			return min(since, s)
		}
	}
	return since
}

func (b *Book) before(right string) (pomelo.Member, bool) {
	l, ok := b.standing.(pomelo.OwnershipHistory)
	if !ok {
		return pomelo.Member{}, false
	}
	return l.PreviousOwner(right)
}

// isComing reports whether the owner before is still there to hand its claims over.
func (b *Book) isComing(right string) bool {
	m, ok := b.before(right)
	if !ok {
		return false
	}
	b.mu.Lock()
	_, done := b.inherited[processOf(m)]
	b.mu.Unlock()
	if done {
		return false
	}
	for _, p := range b.members.All() {
		if processOf(p) == processOf(m) {
			return p.Draining
		}
	}
	return false
}

// timeOf reads the time of a UUID of version 7.
func timeOf(key string) (pomelo.Millis, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return 0, false
	}
	s, ns := u.Time().UnixTime()
	return pomelo.Millis(s*1000 + ns/1_000_000), true
}

// isFromFuture reports a key that no owner claims, so that a key's time is at most the skew ahead of its claiming.
func (b *Book) isFromFuture(key string, now pomelo.Millis) bool {
	at, ok := timeOf(key)
	return ok && at > now+b.skew
}

func processOf(m pomelo.Member) string {
	return m.VM + " " + m.Incarnation
}

// Receive takes a handover in; it is the responder of pomelo.MessageHandover.
func (b *Book) Receive(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var batch pomelo.ClaimBatch
	if err := decode(&batch); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range batch.Records {
		b.adopt(r)
	}
	b.forgetInherited()
	if batch.Complete {
		b.inherited[processOf(from)] = batch.Since
	}
	return true, nil
}

// forgetInherited drops what no longer makes a difference.
func (b *Book) forgetInherited() {
	now := b.clock.Now()
	for k, since := range b.inherited {
		if since < now-2*b.life {
			delete(b.inherited, k)
		}
	}
}

// adopt takes a claim over; one that was still running then gets its outcome later.
func (b *Book) adopt(r pomelo.ClaimRecord) {
	e, ok := b.claims[r.Resource]
	if ok && (e.ended || !e.adopted) {
		return
	}
	if !ok {
		e = &claim{right: r.Resource, digest: r.Digest, claimed: r.ClaimedAt, done: make(chan struct{}), adopted: true}
		b.claims[r.Resource] = e
		b.order = append(b.order, e)
	}
	if r.Ran == "" {
		return
	}
	a := pomelo.Answer{}
	e.dropped = r.Answer == nil
	if r.Answer != nil {
		a = *r.Answer
		a.Body = r.Body
	}
	b.end(e, a, r.Ran)
}
