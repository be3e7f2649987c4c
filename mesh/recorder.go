package mesh

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/beacon"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/worker"
)

// recordTimeout is the longest wait for the record before an upstream is told that its leaving is not acknowledged, in milliseconds: it takes no answer after a second.
const recordTimeout = pomelo.Millis(800)

// recorder implements Announcer: it acknowledges that the upstream leaves once the store holds it, so that the node's next process knows it as well.
type recorder struct {
	worker  *worker.Worker
	beacon  *beacon.Announcer
	metrics *metric.Sink
	log     pomelo.Logger
}

// Announce applies a heartbeat; one that says that the upstream drains is an error until the store holds it.
func (r recorder) Announce(ctx context.Context, i pomelo.Instance) error {
	r.worker.Announce(i)
	if !i.Draining {
		return nil
	}
	return r.awaitRecord(ctx, i.ID, i.StartedAt)
}

// Withdraw applies a deregistration, which is an error until the store holds it.
func (r recorder) Withdraw(ctx context.Context, id string, startedAt pomelo.Millis) error {
	r.worker.Withdraw(id, startedAt)
	return r.awaitRecord(ctx, id, startedAt)
}

func (r recorder) awaitRecord(ctx context.Context, id string, startedAt pomelo.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
	defer cancel()
	err := r.beacon.AwaitRecord(ctx)
	if err != nil {
		r.metrics.Count("control.unrecorded", 1)
		r.log.Warn("leaving_not_recorded", "upstream", id, "born", startedAt, "error", err.Error())
	}
	return err
}
