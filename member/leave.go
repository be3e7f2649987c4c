package member

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/sync/errgroup"
)

const (
	// toldDirectly bounds the messages of one leaving node; the rest learn it by the store, by gossip and by its answers.
	toldDirectly = 64
	leaveTimeout = pomelo.Millis(500)
)

// Leave marks this node as draining and tells other nodes at once, without waiting for the store.
func (r *Registry) Leave(ctx context.Context, peers pomelo.Peers) {
	r.Describe(func(m *pomelo.Member) { m.Draining = true })
	r.tell(ctx, peers)
}

// Stay takes Leave back.
func (r *Registry) Stay(ctx context.Context, peers pomelo.Peers) {
	r.Describe(func(m *pomelo.Member) { m.Draining = false })
	r.tell(ctx, peers)
}

// Told takes another node's Leave or Stay in; it is the responder of pomelo.MessageDrain.
func (r *Registry) Told(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var d pomelo.Drain
	if err := decode(&d); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.others[from.VM]
	if ok && k.member.Incarnation == from.Incarnation {
		k.member.Draining = d.Draining
		r.others[from.VM] = k
		r.rebuild()
	}
	return pomelo.Drain{}, nil
}

func (r *Registry) tell(ctx context.Context, peers pomelo.Peers) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	self := r.Self()
	var g errgroup.Group
	for _, m := range first(r.All()[1:], toldDirectly) {
		g.Go(func() error {
			var answer pomelo.Drain
			return peers.Request(ctx, m, pomelo.MessageDrain, pomelo.Drain{Draining: self.Draining}, &answer)
		})
	}
	if err := g.Wait(); err != nil {
		r.log.Debug("leave_not_told_to_all", "error", err.Error())
	}
}

func first(members []pomelo.Member, n int) []pomelo.Member {
	return members[:min(n, len(members))]
}
