package wiring

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/life"
)

const handoverTimeout = pomelo.Millis(30_000)

// drainer implements pomelo.Drainer over the node's components.
type drainer struct {
	components *components
	// stableSince is a time, taken when the drain begins, since which the node has become the owner of no further resource; a draining node becomes the owner of none.
	stableSince pomelo.Millis
}

func (d *drainer) Drain(ctx context.Context) {
	d.stableSince = d.components.Coordinator.StableSince()
	d.components.Serve.Drain()
	d.components.Entry.Drain()
	d.components.Members.StartDrain(ctx, d.components.Dialer)
}

func (d *drainer) Resume(ctx context.Context) {
	d.components.Serve.Resume()
	d.components.Entry.Resume()
	d.components.Members.CancelDrain(ctx, d.components.Dialer)
}

func (d *drainer) RejectNewCalls() {
	d.components.Serve.RejectNewCalls()
	d.components.Coordinator.Resign(context.Background())
	d.components.Claims.BeginHandover()
	go d.handOver(d.stableSince)
}

// handOver hands the claims over to their new owners. The drain waits for it as for a running call.
func (d *drainer) handOver(since pomelo.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout.Duration())
	defer cancel()
	if err := d.components.Claims.HandOver(ctx, d.components.Dialer, since); err != nil {
		d.components.Log.Warn("handover_incomplete", "error", err.Error())
	}
}

func (d *drainer) Running() int {
	return d.components.Serve.Running() + d.components.Claims.Running()
}

func (n *Node) startLifecycle(ctx context.Context) {
	vm := n.settings.Node.VM
	planned := func() (pomelo.Stop, bool) { return n.components.Config.Stop(vm) }
	n.lifecycle = life.New(n.components.Clock, &drainer{components: &n.components}, planned, n.components.Log, life.WithGracePeriod(n.settings.Node.DrainGrace))
	go n.lifecycle.Run(ctx)
}
