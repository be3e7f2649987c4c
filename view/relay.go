package view

import (
	"context"
	"slices"

	"github.com/pomeloworks/pomelo"
)

const (
	// readerCount is the number of members that read the store themselves; the others request Freshness from a reader or from a member closer to one.
	readerCount = 2
	// fanout is the number of members that request from one member: two levels reach two thousand members.
	fanout = 32
	// relayTimeout is the timeout of a request to a peer, in milliseconds.
	relayTimeout = pomelo.Millis(150)
	// maxRelayedAge is the highest age in a peer's reply that makes a read of the store unnecessary, in milliseconds.
	maxRelayedAge = pomelo.Millis(1_200)
)

// Freshness reports to a peer how recent a member's copy of the policy and the member list is; each age is the time in milliseconds since the start of the store read that proved that part of the copy.
type Freshness struct {
	PolicyVersion   int64           `cbor:"1,keyasint"`
	PolicyAge       pomelo.Millis   `cbor:"2,keyasint"`
	WatchedRevision pomelo.Revision `cbor:"3,keyasint"`
	MembersAge      pomelo.Millis   `cbor:"4,keyasint"`
	// Epoch is the store's epoch of both; EpochAge is the time since the member saw the store return to it, if Returned is set.
	Epoch    int64         `cbor:"5,keyasint,omitempty"`
	EpochAge pomelo.Millis `cbor:"6,keyasint,omitempty"`
	Returned bool          `cbor:"7,keyasint,omitempty"`
}

// Answer implements pomelo.Responder: it returns this node's Freshness, or KindNotAuthoritative before the first read of the store.
func (v *View) Answer(context.Context, pomelo.Member, func(any) error) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	policyAt, policyProven := v.proof.ProvenAt()
	membersAt, membersProven := v.census.ProvenAt()
	if !policyProven || v.policy == nil || !membersProven {
		return nil, pomelo.NewFault(pomelo.KindNotAuthoritative, "this node has not read the store yet", "ask another node")
	}
	now := v.clock.Monotonic()
	f := Freshness{
		PolicyVersion:   v.policy.Version(),
		PolicyAge:       now - policyAt,
		WatchedRevision: v.census.Watched().Revision,
		MembersAge:      now - membersAt,
		Epoch:           v.census.Watched().Epoch,
	}
	f.EpochAge, f.Returned = v.proof.EpochAge(now)
	return f, nil
}

// requestFreshness requests a peer's Freshness, and records what it shows about the store and the policy.
func (v *View) requestFreshness(ctx context.Context, m pomelo.Member) (Freshness, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	var r Freshness
	if err := v.peers.Request(ctx, m, pomelo.MessageGossip, true, &r); err != nil {
		return r, err
	}
	v.observeEpoch(r.Epoch)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.proof.ObservePeer(r.PolicyVersion, r.Epoch, r.EpochAge, r.Returned, v.clock.Monotonic())
	return r, nil
}

// confirmByPeer requests the freshness of one or a few peers and reports whether one confirmed this node's copy, so that no read of the store is needed.
func (v *View) confirmByPeer(ctx context.Context) bool {
	if v.peers == nil {
		return false
	}
	for _, m := range v.proofParents() {
		if v.confirmBy(ctx, m) {
			return true
		}
	}
	return false
}

// proofParents returns the peers to request a proof from, in this order, until one confirms this node's copy.
func (v *View) proofParents() []pomelo.Member {
	if v.relay != nil {
		return v.relayProofParents()
	}
	if p, ok := v.nextParent(); ok {
		return []pomelo.Member{p}
	}
	return nil
}

func (v *View) confirmBy(ctx context.Context, p pomelo.Member) bool {
	// The read behind the peer's reply began no earlier than the reply's age before this request.
	start := v.clock.Monotonic()
	r, err := v.requestFreshness(ctx, p)
	if err != nil {
		v.metrics.Count("view.relay_failed", 1)
		return false
	}
	if v.isBehind() && r.Returned {
		v.requestPolicy(ctx, p)
	}
	return v.applyFreshness(r, start)
}

// RequestMembersPosition requests the position that the member's watch of the member list has reached.
func (v *View) RequestMembersPosition(ctx context.Context, m pomelo.Member) (pomelo.Position, error) {
	r, err := v.requestFreshness(ctx, m)
	return pomelo.Position{Epoch: r.Epoch, Revision: r.WatchedRevision}, err
}

// applyFreshness confirms this node's copy by a peer's reply to a request sent at start; it reports false if the policy versions or the store's epochs differ or an age is over the limit.
func (v *View) applyFreshness(r Freshness, start pomelo.Millis) bool {
	limit := v.relayedAgeLimit()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy == nil || r.PolicyVersion != v.policy.Version() || r.Epoch != v.census.Watched().Epoch {
		return false
	}
	isRecent := r.PolicyAge <= limit && r.MembersAge <= limit
	if !isRecent && v.relay == nil {
		return false
	}
	// An older proof is applied as well if changes are relayed: for a node that the store does not respond to, it may be the newest to be had.
	v.confirmPolicy(r.Epoch, start-r.PolicyAge, r.PolicyVersion)
	v.comparePosition(pomelo.Position{Epoch: r.Epoch, Revision: r.WatchedRevision}, start-r.MembersAge)
	if isRecent {
		v.metrics.Count("view.relayed", 1)
	}
	return isRecent
}

// nextParent returns the next member to request from, in rotation; false for a reader, and if that member is draining.
func (v *View) nextParent() (pomelo.Member, bool) {
	members := v.Current()
	order := orderByHash(members)
	self := v.self().VM
	index := slices.IndexFunc(order, func(h hashed) bool { return members[h.index].VM == self })
	if index < readerCount {
		return pomelo.Member{}, false
	}
	v.requestCount++
	p := members[order[index/fanout+v.requestCount%readerCount].index]
	return p, !p.Draining
}
