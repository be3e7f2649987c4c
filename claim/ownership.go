package claim

import (
	"context"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

// mayHaveBeenClaimed reports whether the key may have been claimed at an earlier owner, or longer ago than the retention time.
func (b *Table) mayHaveBeenClaimed(resource, key string, now, previousSince pomelo.Millis) bool {
	knownSince := b.claimsKnownSince(resource)
	if previousSince != noPreviousSince {
		knownSince = min(knownSince, previousSince)
	}
	keyTime, ok := timestampOf(key)
	if b.isFirstOwner(resource) {
		return ok && keyTime < now-b.retention+b.maxSkew
	}
	if !ok {
		return now < knownSince+b.retention
	}
	return keyTime < knownSince+b.maxSkew || keyTime < now-b.retention+b.maxSkew
}

// isFirstOwner reports whether the resource has had no earlier owner, so that no key of it can have been claimed before.
func (b *Table) isFirstOwner(resource string) bool {
	lineage, ok := b.standing.(pomelo.OwnershipHistory)
	if !ok {
		return false
	}
	_, hasPrevious := lineage.PreviousOwner(resource)
	return !hasPrevious
}

// claimsKnownSince returns the time from which this node knows all claims of the resource, including those that the previous owner handed over.
func (b *Table) claimsKnownSince(resource string) pomelo.Millis {
	since := b.standing.OwnedSince(resource)
	if m, ok := b.previousOwner(resource); ok {
		if s, ok := b.handovers[processID(m)]; ok {
			return min(since, s)
		}
	}
	return since
}

func (b *Table) previousOwner(resource string) (pomelo.Member, bool) {
	l, ok := b.standing.(pomelo.OwnershipHistory)
	if !ok {
		return pomelo.Member{}, false
	}
	return l.PreviousOwner(resource)
}

// isHandoverPending reports whether the previous owner is draining and has not finished handing over its claims.
func (b *Table) isHandoverPending(resource string) bool {
	m, ok := b.previousOwner(resource)
	if !ok {
		return false
	}
	b.mu.Lock()
	_, received := b.handovers[processID(m)]
	b.mu.Unlock()
	if received {
		return false
	}
	for _, p := range b.members.All() {
		if processID(p) == processID(m) {
			return p.Draining
		}
	}
	return false
}

// timestampOf returns the timestamp of a UUID of version 7.
func timestampOf(key string) (pomelo.Millis, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return 0, false
	}
	s, ns := u.Time().UnixTime()
	return pomelo.Millis(s*1000 + ns/1_000_000), true
}

// isFromFuture reports whether the key's timestamp is later than clock skew allows. Owners refuse such keys, so a claimed key's timestamp is at most maxSkew after the time of its claim.
func (b *Table) isFromFuture(key string, now pomelo.Millis) bool {
	at, ok := timestampOf(key)
	return ok && at > now+b.maxSkew
}

func processID(m pomelo.Member) string {
	return m.VM + " " + m.Incarnation
}

// ReceiveHandover stores the claims that the previous owner hands over; it is the responder of pomelo.MessageHandover.
func (b *Table) ReceiveHandover(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var batch pomelo.ClaimBatch
	if err := decode(&batch); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range batch.Records {
		b.importRecord(r)
	}
	b.expireHandovers()
	if batch.Complete {
		b.handovers[processID(from)] = batch.Since
	}
	return true, nil
}

// expireHandovers removes handovers that are too old to affect any decision.
func (b *Table) expireHandovers() {
	now := b.clock.Now()
	for k, since := range b.handovers {
		if since < now-2*b.retention {
			delete(b.handovers, k)
		}
	}
}

// importRecord stores a claim of the previous owner; if its call was still running, a later record brings the outcome.
func (b *Table) importRecord(r pomelo.ClaimRecord) {
	e, ok := b.claims[r.Resource]
	if ok && (e.finished || !e.imported) {
		return
	}
	if !ok {
		e = &claim{resource: r.Resource, digest: r.Digest, claimedAt: r.ClaimedAt, done: make(chan struct{}), imported: true}
		b.claims[r.Resource] = e
		b.order = append(b.order, e)
	}
	if r.Ran == "" {
		return
	}
	a := pomelo.Answer{}
	e.answerDropped = r.Answer == nil
	if r.Answer != nil {
		a = *r.Answer
		a.Body = r.Body
	}
	b.setOutcome(e, a, r.Ran)
}
