package member

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/sync/errgroup"
)

const (
	// maxDrainNotices limits the messages of one draining node; the other nodes learn of it from the store, by gossip and from its replies.
	maxDrainNotices    = 64
	drainNoticeTimeout = pomelo.Millis(500)
)

// StartDrain marks this node as draining and notifies other nodes at once, without waiting for the store.
func (r *Registry) StartDrain(ctx context.Context, peers pomelo.Peers) {
	r.UpdateSelf(func(m *pomelo.Member) { m.Draining = true })
	r.notifyPeers(ctx, peers)
}

// CancelDrain marks this node as no longer draining and notifies other nodes at once.
func (r *Registry) CancelDrain(ctx context.Context, peers pomelo.Peers) {
	r.UpdateSelf(func(m *pomelo.Member) { m.Draining = false })
	r.notifyPeers(ctx, peers)
}

// AnswerDrain applies another node's start or end of draining; it is the pomelo.Responder of pomelo.MessageDrain.
func (r *Registry) AnswerDrain(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var d pomelo.Drain
	if err := decode(&d); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	other, ok := r.others[from.VM]
	if ok && other.member.Incarnation == from.Incarnation {
		other.member.Draining = d.Draining
		r.others[from.VM] = other
		r.rebuild()
	}
	return pomelo.Drain{}, nil
}

func (r *Registry) notifyPeers(ctx context.Context, peers pomelo.Peers) {
	ctx, cancel := context.WithTimeout(ctx, drainNoticeTimeout.Duration())
	defer cancel()
	self := r.Self()
	var g errgroup.Group
	for _, m := range firstMembers(r.All()[1:], maxDrainNotices) {
		g.Go(func() error {
			var reply pomelo.Drain
			return peers.Request(ctx, m, pomelo.MessageDrain, pomelo.Drain{Draining: self.Draining}, &reply)
		})
	}
	if err := g.Wait(); err != nil {
		r.log.Debug("leave_not_told_to_all", "error", err.Error())
	}
}

func firstMembers(members []pomelo.Member, n int) []pomelo.Member {
	return members[:min(n, len(members))]
}
