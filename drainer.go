package pomelo

import "context"

// Drainer carries out the transitions of a node's life cycle.
type Drainer interface {
	// Drain announces to callers and peers that this node is draining.
	Drain(ctx context.Context)
	// Resume reverts Drain and RejectNewCalls.
	Resume(ctx context.Context)
	// RejectNewCalls refuses new calls as not run.
	RejectNewCalls()
	// Running returns the number of queued and running calls.
	Running() int
}
