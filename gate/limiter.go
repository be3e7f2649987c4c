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
	defaultMaxWaiting = 1000
	// sweepInterval is the time between two scans of the queue for calls that can no longer meet their deadline.
	sweepInterval = pomelo.Millis(5)
	// The upstream is saturated, and no cutoff is lowered, while a smaller share of arrivals than saturatedShare is admitted without queueing.
	saturatedShare = 0.2
	// arrivalWeight is the weight of one arrival in the moving average of that share; after idlePeriod without an arrival, the upstream is not saturated.
	arrivalWeight = 0.05
	idlePeriod    = pomelo.Millis(500)
)

// Limiter implements pomelo.ConcurrencyLimiter.
type Limiter struct {
	clock      pomelo.Clock
	maxWaiting int
	settings   pomelo.LimitSettings
	mu         sync.Mutex
	random     *rand.Rand
	limit      *limit.Limit
	cutoff     *cutoff.Cutoff
	queue      *queue
	estimator  estimator
	// running counts the admitted calls that don't wait for sub-calls; occupied counts all admitted calls, each of which takes one of the upstream's slots.
	running   int
	occupied  int
	nextSweep pomelo.Millis
	// immediateShare is the moving average of the share of arrivals that are admitted without queueing.
	immediateShare float64
	lastArrival    pomelo.Millis
}

// New returns a limiter whose queue holds at most 1000 calls.
func New(clock pomelo.Clock, opts ...func(*Limiter)) *Limiter {
	l := &Limiter{
		clock:      clock,
		maxWaiting: defaultMaxWaiting,
		random:     rand.New(rand.NewPCG(0, 0)),
		limit:      limit.New(),
		cutoff:     cutoff.New(),
		queue:      newQueue(),
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// WithSettings sets the bound of the queue and the disabled features.
func WithSettings(s pomelo.LimitSettings) func(*Limiter) {
	return func(l *Limiter) {
		l.maxWaiting = s.Queue
		l.settings = s
		if s.IsDisabled(pomelo.FeatureQueue) {
			l.maxWaiting = 0
		}
	}
}

// WithSeed seeds the jitter of RetryAfter.
func WithSeed(seed uint64) func(*Limiter) {
	return func(l *Limiter) { l.random = rand.New(rand.NewPCG(seed, seed)) }
}

// SetCapacity caps the concurrency limit at the smaller of the upstream's slots and connections; 0 means unknown.
func (l *Limiter) SetCapacity(slots, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == 0 || connections > 0 && connections < slots {
		slots = connections
	}
	l.limit.SetCap(slots)
	l.dispatch(l.clock.Now())
}

// ShedThreshold returns the position in the shedding order below which the account's calls are being refused.
func (l *Limiter) ShedThreshold(account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutoff.Of(l.fairShareAccount(account))
}

// Acquire blocks until the call may run. It returns a *pomelo.Fault as soon as the call is shed, can no longer meet its deadline, or ctx ends; the call has not run then.
func (l *Limiter) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	w, err := l.admitOrQueue(l.clock.Now(), c)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return l.newPermit(), nil
	}
	timed, cancel := context.WithTimeout(ctx, w.maxWait.Duration())
	defer cancel()
	select {
	case err := <-w.decision:
		if err != nil {
			return nil, err
		}
		return l.newPermit(), nil
	case <-timed.Done():
		return nil, l.abandon(ctx, w)
	}
}

// admitOrQueue admits, queues or refuses the call; it returns neither a waiter nor an error for an admitted call.
func (l *Limiter) admitOrQueue(now pomelo.Millis, c pomelo.Call) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	w := l.newWaiter(c)
	l.cutoff.RecordArrival(w.account, w.rank.Importance)
	if l.occupied == 0 {
		l.estimator.resetStall(now)
	}
	if l.observeArrival(now) {
		l.admit()
		l.cutoff.RecordServed(w.rank.Importance)
		return nil, nil
	}
	if f := l.makeRoom(now, w); f != nil {
		l.cutoff.RecordRefused(w.account, w.rank.Importance)
		return nil, f
	}
	w.maxWait = w.deadline - now - l.estimator.expectedDuration()
	l.queue.add(w)
	l.dispatch(now)
	return w, nil
}

func (l *Limiter) observeArrival(now pomelo.Millis) bool {
	l.lastArrival = now
	l.immediateShare -= arrivalWeight * l.immediateShare
	if !l.hasCapacity() || l.queue.count > 0 {
		return false
	}
	l.immediateShare += arrivalWeight
	return true
}

// hasCapacity reports whether one more call may run within the concurrency limit and the upstream's slots.
func (l *Limiter) hasCapacity() bool {
	return l.running < l.limit.Allowed() && l.occupied < l.limit.Cap()
}

func (l *Limiter) admit() {
	l.running++
	l.occupied++
}

func (l *Limiter) isSaturated(now pomelo.Millis) bool {
	return l.immediateShare < saturatedShare && now-l.lastArrival < idlePeriod
}

// makeRoom refuses the call if it can't meet its deadline, or if the queue is full and the call is the first to shed; if a waiting call is to be shed first, it sheds the waiting call.
func (l *Limiter) makeRoom(now pomelo.Millis, w *waiter) *pomelo.Fault {
	if !l.meetsDeadline(now, w, l.queue.ahead(w)) {
		return l.overloadFault("the request can't be answered within its deadline")
	}
	if l.queue.count < l.maxWaiting {
		return nil
	}
	candidate := w
	if l.queue.count > 0 {
		candidate = l.queue.shedCandidate(w)
	}
	if candidate == w {
		return l.overloadFault("the upstream's queue is full")
	}
	l.shed(candidate, "the upstream's queue is full")
	return nil
}

func (l *Limiter) meetsDeadline(now pomelo.Millis, w *waiter, ahead int) bool {
	return now+l.estimator.expectedWait(now, ahead, l.limit.Allowed(), l.limit.Cap())+l.estimator.expectedDuration() <= w.deadline
}

func (l *Limiter) shed(w *waiter, message string) {
	l.queue.remove(w)
	l.cutoff.RecordRefused(w.account, w.rank.Importance)
	w.decision <- l.overloadFault(message)
}

// dispatch admits waiting calls in their order while there is capacity.
func (l *Limiter) dispatch(now pomelo.Millis) {
	for l.queue.count > 0 && l.hasCapacity() {
		w := l.queue.next()
		if now >= w.deadline {
			l.cutoff.RecordRefused(w.account, w.rank.Importance)
			w.decision <- l.overloadFault("the request can't be answered within its deadline")
			continue
		}
		l.admit()
		l.cutoff.RecordServed(w.rank.Importance)
		w.decision <- nil
	}
}

// tick advances the cutoffs and sheds the waiting calls that can no longer meet their deadline, at most once per sweepInterval.
func (l *Limiter) tick(now pomelo.Millis) {
	if now < l.nextSweep {
		return
	}
	l.nextSweep = now + sweepInterval
	l.cutoff.Advance(now, l.isSaturated(now))
	var late []*waiter
	l.queue.each(func(ahead int, w *waiter) {
		if !l.meetsDeadline(now, w, ahead) {
			late = append(late, w)
		}
	})
	for _, w := range late {
		l.shed(w, "the request can't be answered within its deadline any more")
	}
}

// abandon ends the wait of a call whose context ended or whose maxWait has passed; if the call has been admitted at the same moment, its capacity is released.
func (l *Limiter) abandon(ctx context.Context, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if w.flow == nil {
		if err := <-w.decision; err != nil {
			return err
		}
		l.running--
		l.occupied--
		l.dispatch(now)
	} else {
		l.queue.remove(w)
	}
	if ctx.Err() != nil {
		return pomelo.NewFault(pomelo.KindCanceled, "the call was given up while it waited", "repeat the request if it is still wanted")
	}
	l.cutoff.RecordRefused(w.account, w.rank.Importance)
	return l.overloadFault("the request can't be answered within its deadline any more")
}

func (l *Limiter) newWaiter(c pomelo.Call) *waiter {
	if l.settings.IsDisabled(pomelo.FeatureRootHash) {
		c.RootID = c.ID
	}
	if l.settings.IsDisabled(pomelo.FeatureImportance) {
		c.Importance = 0
	}
	return &waiter{
		account:  l.fairShareAccount(c.Account),
		rank:     rank.Of(c),
		deadline: c.Deadline,
		decision: make(chan error, 1),
	}
}

// fairShareAccount returns the account whose fair share a call counts against.
func (l *Limiter) fairShareAccount(account string) string {
	if l.settings.IsDisabled(pomelo.FeatureFairness) {
		return ""
	}
	return account
}

// Waiting returns the number of calls in the queue.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.count
}

func (l *Limiter) overloadFault(message string) *pomelo.Fault {
	return pomelo.NewOverload(message, l.random.Float64())
}
