package claim

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// previousOwnerTimeout is the longest wait for the previous owner's reply, in milliseconds.
const previousOwnerTimeout = pomelo.Millis(300)

// noPreviousSince means that the previous owner gave no information about the resource.
const noPreviousSince = pomelo.Millis(-1)

// askPreviousOwner asks the previous owner about the resource, stores the claim it returns, and returns the time since which the previous owner knows all claims of the resource; the error, if any, is KindInProgress.
func (t *Table) askPreviousOwner(ctx context.Context, resource string) (pomelo.Millis, error) {
	m, ok := t.previousOwner(resource)
	if !ok || t.peers == nil || processID(m) == processID(t.members.Self()) {
		return noPreviousSince, nil
	}
	ctx, cancel := context.WithTimeout(ctx, previousOwnerTimeout.Duration())
	defer cancel()
	var reply pomelo.ClaimReply
	err := t.peers.Request(ctx, m, pomelo.MessageClaim, pomelo.ClaimQuery{Resource: resource}, &reply)
	if pomelo.IsKind(err, pomelo.KindInProgress) {
		return noPreviousSince, err
	}
	if err != nil {
		return noPreviousSince, nil
	}
	if reply.Record != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.importRecord(*reply.Record)
	}
	return reply.Since, nil
}

// AnswerClaimQuery returns what this node knows of a resource to the resource's new owner; it is the responder of pomelo.MessageClaim.
func (t *Table) AnswerClaimQuery(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var question pomelo.ClaimQuery
	if err := decode(&question); err != nil {
		return nil, err
	}
	since, ok := t.releasedTo(question.Resource, from)
	if !ok {
		return nil, ownerChanging()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.claims[question.Resource]
	if !ok {
		return pomelo.ClaimReply{Since: since}, nil
	}
	if !e.finished {
		return nil, inProgress()
	}
	r := e.record()
	return pomelo.ClaimReply{Record: &r, Since: since}, nil
}

// releasedTo reports whether the latest change moved the resource from this node to the other one and this node can no longer act on it, and returns the time since which this node had owned it.
func (t *Table) releasedTo(resource string, to pomelo.Member) (pomelo.Millis, bool) {
	history, ok := t.ownership.(pomelo.OwnershipHistory)
	if !ok || t.ownership.IsOwner(resource) {
		return 0, false
	}
	owner, ok := t.ownership.Owner(resource)
	if !ok || processID(owner) != processID(to) {
		return 0, false
	}
	return history.PreviouslyOwnedSince(resource)
}
