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
	defaultLife = pomelo.Millis(600_000)
	defaultSkew = pomelo.Millis(5_000)
	routeLimit  = pomelo.Millis(2_000)
	routePause  = pomelo.Millis(50)
	comeBackIn  = pomelo.Millis(1_000)
	verdictTime = pomelo.Millis(20)
)

// Bounds of the claims that one node owns, and of a key in bytes.
const (
	defaultClaims = 50_000
	defaultBytes  = 8 << 20
	recordBytes   = 512
	keyBytes      = 255
)

// Book holds the claims that this node owns, and takes keyed calls to the owners of theirs.
type Book struct {
	clock     pomelo.Clock
	standing  pomelo.Ownership
	members   pomelo.Membership
	transport pomelo.Transport
	local     pomelo.Handler
	others    pomelo.Handler
	peers     pomelo.Peers
	maxClaims int
	maxBytes  int
	life      pomelo.Millis
	skew      pomelo.Millis

	running atomic.Int64
	leaving atomic.Bool

	mu     sync.Mutex
	claims map[string]*claim
	// order is by the time of claiming; kept is the index of the first that may hold its answer.
	order     []*claim
	kept      int
	bytes     int
	inherited map[string]pomelo.Millis
}

// New returns an empty book; calls it owns run at local, or through others where local can't take them.
func New(clock pomelo.Clock, standing pomelo.Ownership, members pomelo.Membership, transport pomelo.Transport, local, others pomelo.Handler, opts ...func(*Book)) *Book {
	b := &Book{
		clock:     clock,
		standing:  standing,
		members:   members,
		transport: transport,
		local:     local,
		others:    others,
		maxClaims: defaultClaims,
		maxBytes:  defaultBytes,
		life:      defaultLife,
		skew:      defaultSkew,
		claims:    map[string]*claim{},
		inherited: map[string]pomelo.Millis{},
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// WithLimits bounds the claims in number and their answers in bytes.
func WithLimits(claims, bytes int) func(*Book) {
	return func(b *Book) {
		b.maxClaims = claims
		b.maxBytes = bytes
	}
}

// WithPeers sets how the owner of a key in the generation before is asked.
func WithPeers(p pomelo.Peers) func(*Book) {
	return func(b *Book) { b.peers = p }
}

// WithTimes sets, in milliseconds, how long claims and their answers are kept, which is also how long keys without a time are in doubt after a change of owner, and how far callers' clocks may be off.
func WithTimes(life, skew pomelo.Millis) func(*Book) {
	return func(b *Book) {
		b.life = life
		b.skew = skew
	}
}

// Entered returns the handler of calls from callers: those with an idempotency key go to the key's owner, the others to next.
func (b *Book) Entered(next pomelo.Handler) pomelo.Handler {
	return entered{book: b, next: next}
}

// Owned returns the handler of calls from nodes: those for the owner of their key are claimed, the others go to next.
func (b *Book) Owned(next pomelo.Handler) pomelo.Handler {
	return owned{book: b, next: next}
}

type owned struct {
	book *Book
	next pomelo.Handler
}

func (o owned) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if !c.ToKeyOwner {
		return o.next.Handle(ctx, c)
	}
	c.Deadline = o.book.clock.Now() + c.TimeLeft
	return o.book.own(ctx, c)
}

// own claims the key, runs the call if it is the first, and answers with the first call's outcome.
func (b *Book) own(ctx context.Context, c pomelo.Call) pomelo.Answer {
	right := rightOf(c)
	e, fresh, err := b.take(right, c, noFloor)
	if pomelo.IsKind(err, pomelo.KindInDoubt) {
		e, fresh, err = b.takeOver(ctx, right, c)
	}
	if err != nil {
		return refuse(c, pomelo.FaultOf(err))
	}
	if fresh {
		b.running.Add(1)
		go b.run(e, c)
	}
	return b.await(ctx, e, c, fresh)
}

// takeOver takes a claim that may be older than this node's term.
func (b *Book) takeOver(ctx context.Context, right string, c pomelo.Call) (*claim, bool, error) {
	floor, err := b.consult(ctx, right)
	if err != nil {
		return nil, false, err
	}
	e, fresh, err := b.take(right, c, floor)
	if pomelo.IsKind(err, pomelo.KindInDoubt) && b.isComing(right) {
		return nil, false, noStanding()
	}
	return e, fresh, err
}

// run goes on when the caller is gone: a repeat will ask for the answer.
func (b *Book) run(e *claim, c pomelo.Call) {
	defer b.running.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), (c.Deadline - b.clock.Now()).Duration())
	defer cancel()
	c.ID = uuid.Must(uuid.NewV7()).String()
	c.ToKeyOwner = false
	if !b.standing.IsOwner(e.right) {
		b.finish(e, refuse(c, noStanding()))
		return
	}
	b.finish(e, b.dispatch(ctx, c))
}

func (b *Book) dispatch(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if b.members.Self().Service != c.Service {
		return b.others.Handle(ctx, c)
	}
	c.TimeLeft = c.Deadline - b.clock.Now()
	a := b.local.Handle(ctx, c)
	if !elsewhere(a, c) {
		return a
	}
	c.RetriesLeft = max(c.RetriesLeft-1, 0)
	return b.others.Handle(ctx, c)
}

// elsewhere reports whether another node may take what this one did not run.
func elsewhere(a pomelo.Answer, c pomelo.Call) bool {
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

// await gives a repeat the answer if it comes within the repeat's own time.
func (b *Book) await(ctx context.Context, e *claim, c pomelo.Call, first bool) pomelo.Answer {
	limit, cancel := context.WithCancel(ctx)
	defer cancel()
	if !first {
		go func() {
			_ = b.clock.Sleep(limit, c.Deadline-b.clock.Now()-verdictTime)
			cancel()
		}()
	}
	select {
	case <-e.done:
		return b.outcome(e, c)
	case <-limit.Done():
		return refuse(c, inProgress())
	}
}
