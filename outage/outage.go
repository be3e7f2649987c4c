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
	// turnInterval is the interval between two hints that are followed after a peer whose calls had failed has reached the store.
	turnInterval = pomelo.Millis(1_000)
	// fleetInterval is the time between two attempts of all nodes together while the store is away for all: the first to succeed ends the others' pauses.
	fleetInterval = pomelo.Millis(500)
	// reportPeriod is the time for which a peer's report that the store is away counts; peers report every second.
	reportPeriod = pomelo.Millis(3_000)
	// trustPeriod is the time after a call of its own for which a node does not doubt the store because of a peer.
	trustPeriod = pomelo.Millis(800)
)

// Outage is what a node knows about the store being away for it, shared by all that call the store; its times are monotonic, and it is safe for concurrent use.
type Outage struct {
	mu       sync.Mutex
	pause    pomelo.Millis
	next     pomelo.Millis
	probing  bool
	probedAt pomelo.Millis
	hintedAt pomelo.Millis

	// The following fields are used only if the nodes share one retry rate.
	shared    bool
	nodes     int
	reachedAt pomelo.Millis
	failedAt  pomelo.Millis
	// reports holds the peers for which the store is away by their last report.
	reports map[string]bool
	// reportedAwayAt and reportedReachedAt are the times of the last reports of any peer.
	reportedAwayAt    pomelo.Millis
	reportedReachedAt pomelo.Millis
	onChange          []func(away bool)
}

// New returns an Outage of a store that is not away.
func New(opts ...func(*Outage)) *Outage {
	o := &Outage{
		hintedAt:          -hintInterval,
		reachedAt:         -trustPeriod,
		reports:           map[string]bool{},
		reportedAwayAt:    -reportPeriod,
		reportedReachedAt: -reportPeriod,
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// WithFleet makes all nodes share one retry rate while their peers report that the store is away for them too.
func WithFleet() func(*Outage) {
	return func(o *Outage) { o.shared = true }
}

// OnChange registers a function that is called when the store is away for this node, and when it is no longer; it must be called before the Outage is used.
func (o *Outage) OnChange(f func(away bool)) {
	o.onChange = append(o.onChange, f)
}

// SetNodes sets the number of nodes that share the retry rate.
func (o *Outage) SetNodes(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nodes = n
}

// IsAway reports whether the last call failed.
func (o *Outage) IsAway() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pause > 0
}

// IsShared reports whether the store is away for this node and for all peers that have reported recently.
func (o *Outage) IsShared(now pomelo.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pause > 0 && o.hasReport(now)
}

func (o *Outage) hasReport(now pomelo.Millis) bool {
	return o.shared && now < o.reportedAwayAt+reportPeriod && now >= o.reportedReachedAt+reportPeriod
}

// Allow reports whether the store may be called now; while it is away only one caller at a time may, after a pause, and its result must be recorded.
func (o *Outage) Allow(now pomelo.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pause == 0 {
		return true
	}
	if now < o.nextAttempt(now) || o.probing && now < o.probedAt+maxProbe {
		return false
	}
	o.probing = true
	o.probedAt = now
	return true
}

// nextAttempt returns the end of the pause: a node that hears from no peer any more does not wait for its share of the fleet's rate.
func (o *Outage) nextAttempt(now pomelo.Millis) pomelo.Millis {
	if !o.shared || o.hasReport(now) {
		return o.next
	}
	return min(o.next, o.failedAt+maxPause+maxPause/2)
}

// Record records the result of a call; jitter, from 0 to 1, spreads the pauses of the nodes. An error that shows that the store answers is no failure.
func (o *Outage) Record(err error, now pomelo.Millis, jitter float64) {
	defer o.notify(o.IsAway())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probing = false
	if !pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		o.pause = 0
		o.reachedAt = now
		return
	}
	if o.pause > 0 && now < o.nextAttempt(now) {
		// Another caller's call failed in the same attempt.
		return
	}
	o.failedAt = now
	if o.hasReport(now) {
		o.awaitShare(now, jitter)
		return
	}
	o.pause = min(max(2*o.pause, firstPause), maxPause)
	o.next = now + o.pause/2 + pomelo.Millis(jitter*float64(o.pause))
}

// awaitShare starts a pause of this node's share of the fleet's rate. The first one is between 0 and the share, because the calls of all nodes began to fail at about the same time.
func (o *Outage) awaitShare(now pomelo.Millis, jitter float64) {
	share := max(maxPause, pomelo.Millis(o.nodes)*fleetInterval)
	o.next = now + pomelo.Millis(jitter*float64(share))
	if o.pause >= share {
		o.next += share / 2
	}
	o.pause = share
}

// Hint records that another node has reached the store, which ends the pause soon.
func (o *Outage) Hint(now pomelo.Millis, jitter float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hint(now, jitter, hintInterval)
}

func (o *Outage) hint(now pomelo.Millis, jitter float64, interval pomelo.Millis) {
	if o.pause == 0 || now < o.hintedAt+interval {
		return
	}
	o.hintedAt = now
	o.pause = firstPause
	o.next = min(o.next, now+pomelo.Millis(jitter*float64(hintSpread)))
}

// Report records the report of a peer, named by its VM, whether the store is away for it. If it was in the peer's last report and no longer is, the pause ends at once.
func (o *Outage) Report(peer string, away bool, now pomelo.Millis, jitter float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.shared {
		return
	}
	wasAway := o.reports[peer]
	if away {
		o.reports[peer] = true
		o.reportedAwayAt = now
		return
	}
	delete(o.reports, peer)
	o.reportedReachedAt = now
	if wasAway {
		o.hint(now, jitter, turnInterval)
		return
	}
	o.hint(now, jitter, hintInterval)
}

// Doubt records that the node from which this one receives changes reports that the store is away: unless a call of this node's own has just succeeded, one caller tries the store and the others wait for its result.
func (o *Outage) Doubt(now pomelo.Millis, jitter float64) {
	defer o.notify(o.IsAway())
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.shared || o.pause > 0 || now < o.reachedAt+trustPeriod {
		return
	}
	o.pause = firstPause
	o.failedAt = now
	o.next = now + pomelo.Millis(jitter*float64(hintSpread))
}

// notify calls the registered functions if the store has become away or reachable.
func (o *Outage) notify(wasAway bool) {
	away := o.IsAway()
	if away == wasAway {
		return
	}
	for _, f := range o.onChange {
		f(away)
	}
}
