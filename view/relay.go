package view

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

const (
	// readers is how many members read the store themselves; the others ask them, or those in between.
	readers = 2
	// fanout is how many members ask one: two steps reach two thousand members.
	fanout = 32
	// relayTimeout bounds a question to a peer, in milliseconds.
	relayTimeout = pomelo.Millis(150)
	// relayMost is the oldest relayed proof that spares a read, in milliseconds.
	relayMost = pomelo.Millis(1_200)
)

// Proof is what a member tells another of its knowledge; ages are in milliseconds since the start of the read that each rests on.
type Proof struct {
	Version    int64           `cbor:"1,keyasint"`
	Age        pomelo.Millis   `cbor:"2,keyasint"`
	Watched    pomelo.Revision `cbor:"3,keyasint"`
	MembersAge pomelo.Millis   `cbor:"4,keyasint"`
}

// Answer is the pomelo.Responder for the questions of peers.
func (v *View) Answer(context.Context, pomelo.Member, func(any) error) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.proven || v.policy == nil || !v.members.proven {
		return nil, pomelo.NewFault(pomelo.KindNotAuthoritative, "this node has not read the store yet", "ask another node")
	}
	now := v.clock.Monotonic()
	return Proof{
		Version:    v.policy.Version(),
		Age:        now - v.provenAt,
		Watched:    v.watched,
		MembersAge: now - v.members.provenAt,
	}, nil
}

// relayed proves this node's knowledge by a peer's, and reports whether that spares a read.
func (v *View) relayed(ctx context.Context) bool {
	if v.peers == nil {
		return false
	}
	p, ok := v.parent()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	// What the peer has proven when it answers was read no earlier than its age before the question.
	start := v.clock.Monotonic()
	var r Proof
	if err := v.peers.Request(ctx, p, pomelo.MessageGossip, true, &r); err != nil {
		v.metrics.Count("view.relay_failed", 1)
		return false
	}
	return v.accept(r, start)
}

// Confirm asks a member for the revision up to which it knows the list of members.
func (v *View) Confirm(ctx context.Context, m pomelo.Member) (pomelo.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	var r Proof
	err := v.peers.Request(ctx, m, pomelo.MessageGossip, true, &r)
	return r.Watched, err
}

func (v *View) accept(r Proof, start pomelo.Millis) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy == nil || r.Version != v.policy.Version() || r.Age > relayMost || r.MembersAge > relayMost {
		return false
	}
	v.prove(start - r.Age)
	v.compare(r.Watched, start-r.MembersAge)
	v.metrics.Count("view.relayed", 1)
	return true
}

// parent is one of the members that this one asks, in turn; false for a reader.
func (v *View) parent() (pomelo.Member, bool) {
	order := v.Current()
	slices.SortFunc(order, byHash)
	self := v.self().VM
	at := slices.IndexFunc(order, func(m pomelo.Member) bool { return m.VM == self })
	if at < readers {
		return pomelo.Member{}, false
	}
	v.turn++
	p := order[at/fanout+v.turn%readers]
	return p, !p.Draining
}

// byHash is the same order at every member, and unlike that of names spreads the readers.
func byHash(a, b pomelo.Member) int {
	x, y := xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
