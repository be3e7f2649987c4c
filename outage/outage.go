package outage

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	firstPause = pomelo.Millis(250)
	// maxPause is short against the lifetime of leases, of which several attempts must fit into one.
	maxPause = pomelo.Millis(2_000)
	// maxProbe is the time after which an attempt without a result no longer holds back the others.
	maxProbe = pomelo.Millis(1_500)
	// hintSpread spreads the attempts of nodes that learn at the same time that the store is back.
	hintSpread = pomelo.Millis(200)
	// hintInterval is the time between two hints that are followed: a store that serves others may go on refusing this node.
	hintInterval = pomelo.Millis(4_000)
)

// Outage is what a node knows about the store being away for it, shared by all that call the store; its times are monotonic, and it is safe for concurrent use.
type Outage struct {
	mu       sync.Mutex
	pause    pomelo.Millis
	next     pomelo.Millis
	probing  bool
	probedAt pomelo.Millis
	hintedAt pomelo.Millis
}

// New returns an Outage of a store that is not away.
func New() *Outage {
	return &Outage{hintedAt: -hintInterval}
}

// IsAway reports whether the last call failed.
func (o *Outage) IsAway() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pause > 0
}

// Allow reports whether the store may be called now; while it is away only one caller at a time may, after a pause, and its result must be recorded.
func (o *Outage) Allow(now pomelo.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pause == 0 {
		return true
	}
	if now < o.next || o.probing && now < o.probedAt+maxProbe {
		return false
	}
	o.probing = true
	o.probedAt = now
	return true
}

// Record records the result of a call; jitter, from 0 to 1, spreads the pauses of the nodes. An error that shows that the store answers is no failure.
func (o *Outage) Record(err error, now pomelo.Millis, jitter float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probing = false
	if !pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		o.pause = 0
		return
	}
	if o.pause > 0 && now < o.next {
		// Another caller's call failed in the same attempt.
		return
	}
	o.pause = min(max(2*o.pause, firstPause), maxPause)
	o.next = now + o.pause/2 + pomelo.Millis(jitter*float64(o.pause))
}

// Hint records that another node has reached the store, which ends the pause soon.
func (o *Outage) Hint(now pomelo.Millis, jitter float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pause == 0 || now < o.hintedAt+hintInterval {
		return
	}
	o.hintedAt = now
	o.pause = firstPause
	o.next = min(o.next, now+pomelo.Millis(jitter*float64(hintSpread)))
}
