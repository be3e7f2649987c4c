package gate

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/cutoff"
	"github.com/pomeloworks/pomelo/limit"
	"github.com/pomeloworks/pomelo/rank"
)

const (
	defaultQueue = 1000
	// sweepInterval is between two looks at all the waiting calls for those that can't make it any more.
	sweepInterval = pomelo.Millis(5)
	// crowdedShare is the share of arrivals that find a free place, below which no cutoff is lowered.
	crowdedShare = 0.2
	// arrivalWeight is how much one arrival moves that share; without one for lull the upstream has room.
	arrivalWeight = 0.05
	lull          = pomelo.Millis(500)
)

// Gate implements pomelo.Gate.
type Gate struct {
	clock  pomelo.Clock
	bound  int
	off    pomelo.LimitSettings
	mu     sync.Mutex
	random *rand.Rand
	limit  *limit.Limit
	cutoff *cutoff.Cutoff
	queue  *queue
	pace   pace
	// running calls use the upstream's own time; held ones are those and the ones that wait for their sub-calls.
	running int
	held    int
	sweeps  pomelo.Millis
	// free is the share of arrivals that found a free place lately.
	free    float64
	arrived pomelo.Millis
}

// New returns a gate that holds 1000 waiting calls at most.
func New(clock pomelo.Clock, opts ...func(*Gate)) *Gate {
	g := &Gate{
		clock:  clock,
		bound:  defaultQueue,
		random: rand.New(rand.NewPCG(0, 0)),
		limit:  limit.New(),
		cutoff: cutoff.New(),
		queue:  newQueue(),
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// WithSettings takes the bound of the queue and the parts that are off.
func WithSettings(s pomelo.LimitSettings) func(*Gate) {
	return func(g *Gate) {
		g.bound = s.Queue
		g.off = s
		if s.IsDisabled(pomelo.FeatureQueue) {
			g.bound = 0
		}
	}
}

// WithSeed seeds the jitter of RetryAfter.
func WithSeed(seed uint64) func(*Gate) {
	return func(g *Gate) { g.random = rand.New(rand.NewPCG(seed, seed)) }
}

// SetCapacity caps the limit at what the upstream can run and how many connections it takes.
func (g *Gate) SetCapacity(slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots == 0 || connections > 0 && connections < slots {
		slots = connections
	}
	g.limit.Cap(slots)
	g.dispatch(g.clock.Now())
}

// ShedThreshold is the position below which the account's calls are being refused here.
func (g *Gate) ShedThreshold(account string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutoff.Of(g.shareOf(account))
}

// Acquire returns when the call may run, or at once with a *pomelo.Fault when it can't any more; nothing has run then.
func (g *Gate) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	w, err := g.arrive(g.clock.Now(), c)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return g.pass(), nil
	}
	timed, cancel := context.WithTimeout(ctx, w.patience.Duration())
	defer cancel()
	select {
	case err := <-w.turn:
		if err != nil {
			return nil, err
		}
		return g.pass(), nil
	case <-timed.Done():
		return nil, g.abandon(ctx, w)
	}
}

// arrive takes a place, waits in the queue, or is refused; a nil waiter without an error has its place.
func (g *Gate) arrive(now pomelo.Millis, c pomelo.Call) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tick(now)
	w := g.waiter(c)
	g.cutoff.Arrived(w.account, w.rank.Importance)
	if g.held == 0 {
		g.pace.begin(now)
	}
	if g.hasPlace(now) {
		g.take()
		g.cutoff.Served(w.rank.Importance)
		return nil, nil
	}
	if f := g.refusal(now, w); f != nil {
		g.cutoff.Refused(w.account, w.rank.Importance)
		return nil, f
	}
	w.patience = w.deadline - now - g.pace.service()
	g.queue.add(w)
	g.dispatch(now)
	return w, nil
}

func (g *Gate) hasPlace(now pomelo.Millis) bool {
	g.arrived = now
	g.free -= arrivalWeight * g.free
	if !g.isOpen() || g.queue.count > 0 {
		return false
	}
	g.free += arrivalWeight
	return true
}

// isOpen reports whether one more call may run: within the limit, and within the slots.
func (g *Gate) isOpen() bool {
	return g.running < g.limit.Allowed() && g.held < g.limit.Most()
}

func (g *Gate) take() {
	g.running++
	g.held++
}

func (g *Gate) isCrowded(now pomelo.Millis) bool {
	return g.free < crowdedShare && now-g.arrived < lull
}

// refusal makes room for the call if it can make it and the order says so; else it returns the call's own refusal.
func (g *Gate) refusal(now pomelo.Millis, w *waiter) *pomelo.Fault {
	if !g.fits(now, w, g.queue.ahead(w)) {
		return g.overload("the request can't be answered within its deadline")
	}
	if g.queue.count < g.bound {
		return nil
	}
	v := w
	if g.queue.count > 0 {
		v = g.queue.victim(w)
	}
	if v == w {
		return g.overload("the upstream's queue is full")
	}
	g.drop(v, "the upstream's queue is full")
	return nil
}

func (g *Gate) fits(now pomelo.Millis, w *waiter, ahead int) bool {
	return now+g.pace.wait(now, ahead, g.limit.Allowed(), g.limit.Most())+g.pace.service() <= w.deadline
}

func (g *Gate) drop(w *waiter, message string) {
	g.queue.remove(w)
	g.cutoff.Refused(w.account, w.rank.Importance)
	w.turn <- g.overload(message)
}

// dispatch hands free places to the waiting calls in their order.
func (g *Gate) dispatch(now pomelo.Millis) {
	for g.queue.count > 0 && g.isOpen() {
		w := g.queue.next()
		if now >= w.deadline {
			g.cutoff.Refused(w.account, w.rank.Importance)
			w.turn <- g.overload("the request can't be answered within its deadline")
			continue
		}
		g.take()
		g.cutoff.Served(w.rank.Importance)
		w.turn <- nil
	}
}

// tick does what is due with the time: it closes windows and refuses waiting calls that can't make it any more.
func (g *Gate) tick(now pomelo.Millis) {
	if now < g.sweeps {
		return
	}
	g.sweeps = now + sweepInterval
	g.cutoff.Advance(now, g.isCrowded(now))
	var late []*waiter
	g.queue.each(func(place int, w *waiter) {
		if !g.fits(now, w, place) {
			late = append(late, w)
		}
	})
	for _, w := range late {
		g.drop(w, "the request can't be answered within its deadline any more")
	}
}

// abandon ends a wait by the caller's going or by time; a place that came in the same moment is given back.
func (g *Gate) abandon(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if w.lane == nil {
		if err := <-w.turn; err != nil {
			return err
		}
		g.running--
		g.held--
		g.dispatch(now)
	} else {
		g.queue.remove(w)
	}
	if ctx.Err() != nil {
		return pomelo.NewFault(pomelo.KindCanceled, "the call was given up while it waited", "repeat the request if it is still wanted")
	}
	g.cutoff.Refused(w.account, w.rank.Importance)
	return g.overload("the request can't be answered within its deadline any more")
}

func (g *Gate) waiter(c pomelo.Call) *waiter {
	if g.off.IsDisabled(pomelo.FeatureRootHash) {
		c.RootID = c.ID
	}
	if g.off.IsDisabled(pomelo.FeatureImportance) {
		c.Importance = 0
	}
	return &waiter{
		account:  g.shareOf(c.Account),
		rank:     rank.Of(c),
		deadline: c.Deadline,
		turn:     make(chan error, 1),
	}
}

// shareOf is the account that a call's share is counted to.
func (g *Gate) shareOf(account string) string {
	if g.off.IsDisabled(pomelo.FeatureFairness) {
		return ""
	}
	return account
}

// Waiting counts the calls in the queue.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.count
}

func (g *Gate) overload(message string) *pomelo.Fault {
	return pomelo.NewOverload(message, g.random.Float64())
}
