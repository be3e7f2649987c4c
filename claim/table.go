package claim

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	defaultRetention = pomelo.Millis(600_000)
	defaultMaxSkew   = pomelo.Millis(5_000)
	routeTimeout     = pomelo.Millis(2_000)
	routeRetryDelay  = pomelo.Millis(50)
	retryAfter       = pomelo.Millis(1_000)
	inProgressMargin = pomelo.Millis(20)
)

// Limits of the claims that one node owns, and of a key's length. claimOverheadBytes is the estimated memory of a claim without its answer.
const (
	defaultMaxClaims      = 50_000
	defaultMaxAnswerBytes = 8 << 20
	claimOverheadBytes    = 512
	maxKeyBytes           = 255
)

// Table stores the claims that this node owns, and routes calls with an idempotency key to the key's owner.
type Table struct {
	clock          pomelo.Clock
	ownership      pomelo.Ownership
	members        pomelo.Membership
	transport      pomelo.Transport
	local          pomelo.Handler
	remote         pomelo.Handler
	peers          pomelo.Peers
	maxClaims      int
	maxAnswerBytes int
	retention      pomelo.Millis
	maxSkew        pomelo.Millis

	running     atomic.Int64
	handingOver atomic.Bool

	mu     sync.Mutex
	claims map[string]*claim
	// order holds the claims sorted by the time they were claimed; firstWithAnswer is the index in order of the first claim that may still have its answer.
	order           []*claim
	firstWithAnswer int
	answerBytes     int
	// handovers holds the Since of the last batch of each complete handover received, by the sender's process.
	handovers map[string]pomelo.Millis
}

// New returns an empty table; calls whose key this node owns run at local, or through remote if local can't run them.
func New(clock pomelo.Clock, ownership pomelo.Ownership, members pomelo.Membership, transport pomelo.Transport, local, remote pomelo.Handler, opts ...func(*Table)) *Table {
	t := &Table{
		clock:          clock,
		ownership:      ownership,
		members:        members,
		transport:      transport,
		local:          local,
		remote:         remote,
		maxClaims:      defaultMaxClaims,
		maxAnswerBytes: defaultMaxAnswerBytes,
		retention:      defaultRetention,
		maxSkew:        defaultMaxSkew,
		claims:         map[string]*claim{},
		handovers:      map[string]pomelo.Millis{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithLimits sets the maximum number of claims and the maximum size of their answers in bytes.
func WithLimits(maxClaims, maxAnswerBytes int) func(*Table) {
	return func(t *Table) {
		t.maxClaims = maxClaims
		t.maxAnswerBytes = maxAnswerBytes
	}
}

// WithPeers sets the client used to query a key's owner in the previous roster generation.
func WithPeers(p pomelo.Peers) func(*Table) {
	return func(t *Table) { t.peers = p }
}

// WithRetention sets, in milliseconds, the time for which claims and their answers are retained, and the largest clock skew of callers. Keys without a timestamp are also in doubt for the retention time after a change of owner.
func WithRetention(retention, maxSkew pomelo.Millis) func(*Table) {
	return func(t *Table) {
		t.retention = retention
		t.maxSkew = maxSkew
	}
}

// CallerHandler returns the handler for calls from callers: it routes a call with an idempotency key to the key's owner and passes any other call to next.
func (t *Table) CallerHandler(next pomelo.Handler) pomelo.Handler {
	return callerHandler{table: t, next: next}
}

// PeerHandler returns the handler for calls from peers: it claims the key of a call that was routed to the key's owner and passes any other call to next.
func (t *Table) PeerHandler(next pomelo.Handler) pomelo.Handler {
	return peerHandler{table: t, next: next}
}

type peerHandler struct {
	table *Table
	next  pomelo.Handler
}

func (h peerHandler) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if !c.ToKeyOwner {
		return h.next.Handle(ctx, c)
	}
	c.Deadline = h.table.clock.Now() + c.TimeLeft
	return h.table.claimAndRun(ctx, c)
}

// claimAndRun claims the key, runs the call if the claim is new, and returns the outcome of the claim's call.
func (t *Table) claimAndRun(ctx context.Context, c pomelo.Call) pomelo.Answer {
	resource := resourceOf(c)
	e, isNew, err := t.acquire(resource, c, noPreviousSince)
	if pomelo.IsKind(err, pomelo.KindInDoubt) {
		e, isNew, err = t.acquireFromPrevious(ctx, resource, c)
	}
	if err != nil {
		return refuse(c, pomelo.FaultOf(err))
	}
	if isNew {
		t.running.Add(1)
		go t.run(e, c)
	}
	return t.await(ctx, e, c, isNew)
}

// acquireFromPrevious asks the previous owner about a key that may have been claimed before this node owned the resource, and then claims it.
func (t *Table) acquireFromPrevious(ctx context.Context, resource string, c pomelo.Call) (*claim, bool, error) {
	previousSince, err := t.askPreviousOwner(ctx, resource)
	if err != nil {
		return nil, false, err
	}
	e, isNew, err := t.acquire(resource, c, previousSince)
	if pomelo.IsKind(err, pomelo.KindInDoubt) && t.isHandoverPending(resource) {
		return nil, false, ownerChanging()
	}
	return e, isNew, err
}

// run does not stop when the caller disconnects, because a repeated call will ask for the answer.
func (t *Table) run(e *claim, c pomelo.Call) {
	defer t.running.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), (c.Deadline - t.clock.Now()).Duration())
	defer cancel()
	c.ID = uuid.Must(uuid.NewV7()).String()
	c.ToKeyOwner = false
	if !t.ownership.IsOwner(e.resource) {
		t.finish(e, refuse(c, ownerChanging()))
		return
	}
	t.finish(e, t.dispatch(ctx, c))
}

func (t *Table) dispatch(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if t.members.Self().Service != c.Service {
		return t.remote.Handle(ctx, c)
	}
	c.TimeLeft = c.Deadline - t.clock.Now()
	a := t.local.Handle(ctx, c)
	if !mayRunElsewhere(a, c) {
		return a
	}
	c.RetriesLeft = max(c.RetriesLeft-1, 0)
	return t.remote.Handle(ctx, c)
}

// mayRunElsewhere reports whether another node may run a call that this node refused.
func mayRunElsewhere(a pomelo.Answer, c pomelo.Call) bool {
	if a.Refusal == nil || a.Refusal.Ran != pomelo.RanNo {
		return false
	}
	switch a.Refusal.Kind {
	case pomelo.KindDraining, pomelo.KindNoUpstream:
		return true
	case pomelo.KindOverload:
		return c.RetriesLeft > 0
	}
	return false
}

// await waits for the claim's outcome; a repeated call waits at most until shortly before its own deadline.
func (t *Table) await(ctx context.Context, e *claim, c pomelo.Call, isNew bool) pomelo.Answer {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	if !isNew {
		go func() {
			_ = t.clock.Sleep(limited, c.Deadline-t.clock.Now()-inProgressMargin)
			cancel()
		}()
	}
	select {
	case <-e.done:
		return t.outcome(e, c)
	case <-limited.Done():
		return refuse(c, inProgress())
	}
}
