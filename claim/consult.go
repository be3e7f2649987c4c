package claim

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// consultLimit, in milliseconds, bounds the wait for the owner before.
const consultLimit = pomelo.Millis(300)

// noFloor stands for no more knowledge than this node's own.
const noFloor = pomelo.Millis(-1)

// consult asks the owner before, and returns from when on the keys of the right are known here then; the error is KindInProgress.
func (b *Book) consult(ctx context.Context, right string) (pomelo.Millis, error) {
	m, ok := b.before(right)
	if !ok || b.peers == nil || processOf(m) == processOf(b.members.Self()) {
		return noFloor, nil
	}
	ctx, cancel := context.WithTimeout(ctx, consultLimit.Duration())
	defer cancel()
	var r pomelo.ClaimReply
	err := b.peers.Request(ctx, m, pomelo.MessageClaim, pomelo.ClaimQuery{Resource: right}, &r)
	if pomelo.IsKind(err, pomelo.KindInProgress) {
		return noFloor, err
	}
	if err != nil {
		return noFloor, nil
	}
	if r.Record != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.adopt(*r.Record)
	}
	return r.Since, nil
}

// Answer tells the right's next owner what this node knows of it; it is the responder of pomelo.MessageClaim.
func (b *Book) Answer(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var q pomelo.ClaimQuery
	if err := decode(&q); err != nil {
		return nil, err
	}
	since, ok := b.gave(q.Resource, from)
	if !ok {
		return nil, noStanding()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.claims[q.Resource]
	if !ok {
		return pomelo.ClaimReply{Since: since}, nil
	}
	if !e.ended {
		return nil, inProgress()
	}
	r := e.record()
	return pomelo.ClaimReply{Record: &r, Since: since}, nil
}

// gave reports whether the right went from this node to the other by the latest change and can't be acted on here any more, and when this node had taken it.
func (b *Book) gave(right string, to pomelo.Member) (pomelo.Millis, bool) {
	l, ok := b.standing.(pomelo.OwnershipHistory)
	if !ok || b.standing.IsOwner(right) {
		return 0, false
	}
	o, ok := b.standing.Owner(right)
	if !ok || processOf(o) != processOf(to) {
		return 0, false
	}
	return l.PreviouslyOwnedSince(right)
}
