package view

import (
	"context"
	"math/rand/v2"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/events"
)

// relay is what a node needs to receive changes from other nodes and to pass them on; the mutex of the View guards it.
type relay struct {
	events *events.Log
	// changed is closed and replaced when a waiting request of a peer may have to be answered.
	changed chan struct{}
	// parent is the node from which changes are received; its VM is empty if there is none.
	parent   pomelo.Member
	isReader bool
	// avoidUntil holds the members that were lost as parents, with the time at which they may be chosen again.
	avoidUntil map[string]pomelo.Millis
	// logged describes the last log line about the source of changes.
	logged string
}

// WithRelayedWatch has most nodes receive changes from other nodes instead of the store; it requires WithPeers.
func WithRelayedWatch() func(*View) {
	return func(v *View) {
		v.relay = &relay{events: events.New(), changed: make(chan struct{}), avoidUntil: map[string]pomelo.Millis{}}
	}
}

// reset starts the log of changes anew after a list.
func (r *relay) reset(at pomelo.Position) {
	if r == nil {
		return
	}
	r.events.Reset(at)
	r.wake()
}

// append adds the changes that have been applied.
func (r *relay) append(l pomelo.Listing) {
	if r == nil {
		return
	}
	previous := r.events.Head()
	r.events.Append(l.Records, l.Position())
	if r.events.Head() != previous {
		r.wake()
	}
}

func (r *relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// StoreChanged has the source of changes chosen anew, and peers told, after the store has become away or reachable for this node.
func (v *View) StoreChanged(bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.relay == nil {
		return
	}
	v.relay.parent = pomelo.Member{}
	v.relay.wake()
	if v.cancelWatch != nil {
		v.cancelWatch()
	}
}

// AnswerChanges implements pomelo.Responder: it returns the changes after a position as soon as there is one, or once the store is away or reachable; KindNotAuthoritative before the first list.
func (v *View) AnswerChanges(ctx context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var q pomelo.ChangesRequest
	if err := decode(&q); err != nil {
		return nil, err
	}
	v.outage.Report(from.VM, q.StoreAway, v.clock.Monotonic(), rand.Float64())
	select {
	case <-v.listed:
	default:
		return nil, pomelo.NewFault(pomelo.KindNotAuthoritative, "this node has not listed the members yet", "ask another node")
	}
	ctx, cancel := context.WithTimeout(ctx, min(q.Wait, pollWait).Duration())
	defer cancel()
	away := v.outage.IsAway()
	for {
		r, changed := v.changesAfter(q.Position)
		isNews := r.TooFarBehind || q.Position.Before(r.Batch.Position) || r.StoreAway != away
		if isNews || ctx.Err() != nil {
			return r, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// changesAfter returns the changes after the position, and a channel that is closed when there may be more.
func (v *View) changesAfter(at pomelo.Position) (pomelo.ChangesReply, <-chan struct{}) {
	away := v.outage.IsAway()
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.relay.events.After(at)
	return pomelo.ChangesReply{
		Batch:        b,
		TooFarBehind: !ok,
		MembersAge:   v.ageOf(v.census.ProvenAt()),
		StoreAway:    away,
	}, v.relay.changed
}
