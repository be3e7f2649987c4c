package wiring

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/life"
)

const handoverLimit = pomelo.Millis(30_000)

// drainer implements pomelo.Drainer over the node's parts.
type drainer struct {
	parts *parts
	// settled is a time since when, at the drain's start, the node had gained no right; a draining node gains none.
	settled pomelo.Millis
}

func (d *drainer) Drain(ctx context.Context) {
	d.settled = d.parts.Standing.StableSince()
	d.parts.Serve.Drain()
	d.parts.Entry.Drain()
	d.parts.Members.StartDrain(ctx, d.parts.Dialer)
}

func (d *drainer) Resume(ctx context.Context) {
	d.parts.Serve.Resume()
	d.parts.Entry.Resume()
	d.parts.Members.CancelDrain(ctx, d.parts.Dialer)
}

func (d *drainer) RejectNewCalls() {
	d.parts.Serve.RejectNewCalls()
	d.parts.Standing.Resign(context.Background())
	d.parts.Claims.BeginHandover()
	go d.handOver(d.settled)
}

// handOver is waited for like a running call.
func (d *drainer) handOver(since pomelo.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverLimit.Duration())
	defer cancel()
	if err := d.parts.Claims.HandOver(ctx, d.parts.Dialer, since); err != nil {
		d.parts.Log.Warn("handover_incomplete", "error", err.Error())
	}
}

func (d *drainer) Running() int {
	return d.parts.Serve.Running() + d.parts.Claims.Running()
}

func (n *Node) live(ctx context.Context) {
	vm := n.settings.Node.VM
	planned := func() (pomelo.Stop, bool) { return n.parts.Config.Stop(vm) }
	n.life = life.New(n.parts.Clock, &drainer{parts: &n.parts}, planned, n.parts.Log, life.WithGracePeriod(n.settings.Node.DrainGrace))
	go n.life.Run(ctx)
}
