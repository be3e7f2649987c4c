package claim

import (
	"context"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

// mayHaveBeenClaimed reports whether the key may have been claimed at an earlier owner, or longer ago than the retention time.
func (t *Table) mayHaveBeenClaimed(resource, key string, now, previousSince pomelo.Millis) bool {
	knownSince := t.claimsKnownSince(resource)
	if previousSince != noPreviousSince {
		knownSince = min(knownSince, previousSince)
	}
	keyTime, ok := timestampOf(key)
	if t.isFirstOwner(resource) {
		return ok && keyTime < now-t.retention+t.maxSkew
	}
	if !ok {
		return now < knownSince+t.retention
	}
	return keyTime < knownSince+t.maxSkew || keyTime < now-t.retention+t.maxSkew
}

// isFirstOwner reports whether the resource has had no earlier owner, so that no key of it can have been claimed before.
func (t *Table) isFirstOwner(resource string) bool {
	history, ok := t.ownership.(pomelo.OwnershipHistory)
	if !ok {
		return false
	}
	_, hasPrevious := history.PreviousOwner(resource)
	return !hasPrevious
}

// claimsKnownSince returns the time from which this node knows all claims of the resource, including those that the previous owner handed over.
func (t *Table) claimsKnownSince(resource string) pomelo.Millis {
	since := t.ownership.OwnedSince(resource)
	if m, ok := t.previousOwner(resource); ok {
		if s, ok := t.handovers[processID(m)]; ok {
			return min(since, s)
		}
	}
	return since
}

func (t *Table) previousOwner(resource string) (pomelo.Member, bool) {
	history, ok := t.ownership.(pomelo.OwnershipHistory)
	if !ok {
		return pomelo.Member{}, false
	}
	return history.PreviousOwner(resource)
}

// isHandoverPending reports whether the previous owner is draining and has not finished handing over its claims.
func (t *Table) isHandoverPending(resource string) bool {
	m, ok := t.previousOwner(resource)
	if !ok {
		return false
	}
	t.mu.Lock()
	_, received := t.handovers[processID(m)]
	t.mu.Unlock()
	if received {
		return false
	}
	for _, p := range t.members.All() {
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
func (t *Table) isFromFuture(key string, now pomelo.Millis) bool {
	at, ok := timestampOf(key)
	return ok && at > now+t.maxSkew
}

func processID(m pomelo.Member) string {
	return m.VM + " " + m.Incarnation
}

// ReceiveHandover stores the claims that the previous owner hands over; it is the responder of pomelo.MessageHandover.
func (t *Table) ReceiveHandover(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var batch pomelo.ClaimBatch
	if err := decode(&batch); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range batch.Records {
		t.importRecord(r)
	}
	t.expireHandovers()
	if batch.Complete {
		t.handovers[processID(from)] = batch.Since
	}
	return true, nil
}

// expireHandovers removes handovers that are too old to affect any decision.
func (t *Table) expireHandovers() {
	now := t.clock.Now()
	for k, since := range t.handovers {
		if since < now-2*t.retention {
			delete(t.handovers, k)
		}
	}
}

// importRecord stores a claim of the previous owner; if its call was still running, a later record brings the outcome.
func (t *Table) importRecord(r pomelo.ClaimRecord) {
	e, ok := t.claims[r.Resource]
	if ok && (e.finished || !e.imported) {
		return
	}
	if !ok {
		e = &claim{resource: r.Resource, digest: r.Digest, claimedAt: r.ClaimedAt, done: make(chan struct{}), imported: true}
		t.claims[r.Resource] = e
		t.order = append(t.order, e)
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
	t.setOutcome(e, a, r.Ran)
}
