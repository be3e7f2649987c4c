package pomelo

import "context"

// Drainer is what a node does along its life cycle.
type Drainer interface {
	// Drain tells callers and peers that this node leaves.
	Drain(ctx context.Context)
	// Resume takes Drain and Shut back.
	Resume(ctx context.Context)
	// RejectNewCalls refuses new calls as not run.
	RejectNewCalls()
	// Running counts the calls that are queued or run.
	Running() int
}
