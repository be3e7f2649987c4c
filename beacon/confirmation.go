package beacon

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// AwaitRecord returns once the store holds the member as it is now, or a later state of it, so that the VM's next process will know it; KindStoreUnavailable if the context ends before.
func (a *Announcer) AwaitRecord(ctx context.Context) error {
	_, change := a.snapshot()
	for {
		recorded, confirmed := a.isRecorded(change)
		if recorded {
			return nil
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
			return pomelo.NewFault(pomelo.KindStoreUnavailable, "the store does not hold this node's record yet", "send it again")
		}
	}
}

// snapshot returns the member and the number of its last change.
func (a *Announcer) snapshot() (pomelo.Member, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member, a.change
}

// isRecorded reports whether the store holds the change for certain, and returns a channel that is closed when that may have become true.
func (a *Announcer) isRecorded(change uint64) (bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recorded >= change && a.clock.Monotonic() < a.LeaseExpiresAt(), a.confirmed
}

// confirm notes the last change that the store holds; 0 if its record may be gone.
func (a *Announcer) confirm(change uint64) {
	a.mu.Lock()
	a.recorded = change
	a.mu.Unlock()
	a.wake()
}

// wake has AwaitRecord look again.
func (a *Announcer) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.confirmed)
	a.confirmed = make(chan struct{})
}
