package queue

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/cutoff"
	"github.com/pomeloworks/pomelo/rank"
)

const (
	// runTimeWeight is the weight of one call in the moving averages of the run times.
	runTimeWeight = 0.1
	// initialRunTime is the expected mean run time, in milliseconds, before the first call has ended.
	initialRunTime = 50.0
	// maxWaitShare is the share of a call's latency objective that it may spend in the queue.
	maxWaitShare = 0.5
	// minRetryAfter is the lower bound of a refusal's RetryAfter.
	minRetryAfter = pomelo.Millis(100)
	// maxDrainTime bounds the drain time in a refusal's RetryAfter; it is also the expected wait while no slots are announced.
	maxDrainTime = pomelo.Millis(2_000)
	// The upstream is saturated, and no cutoff is lowered, while a smaller share of arrivals than saturatedShare is admitted without queueing.
	saturatedShare = 0.2
	// arrivalWeight is the weight of one arrival in that moving average.
	arrivalWeight = 0.05
	// maxWaitingPerSlot bounds the waiting calls for each slot.
	maxWaitingPerSlot = 8
)

// Queue implements pomelo.ConcurrencyLimiter over an upstream's announced slots.
type Queue struct {
	clock        pomelo.Clock
	mu           sync.Mutex
	slots        int
	running      int
	waiting      []*waiter
	lastSequence uint64
	runTimes     map[string]float64
	meanRunTime  float64
	random       *rand.Rand
	cutoff       *cutoff.Cutoff
	pacer        pacer
	// cancelStart cancels the wait for the next start that the pacer allows; nil when none is in progress.
	cancelStart context.CancelFunc
	// immediateShare is the moving average of the share of arrivals that are admitted without queueing.
	immediateShare float64
}

// New returns a queue that admits no call before SetCapacity; seed is for the jitter of RetryAfter.
func New(clock pomelo.Clock, seed uint64) *Queue {
	return &Queue{
		clock:          clock,
		runTimes:       map[string]float64{},
		meanRunTime:    initialRunTime,
		random:         rand.New(rand.NewPCG(seed, seed)),
		cutoff:         cutoff.New(),
		immediateShare: 1,
		pacer:          pacer{recent: window{knownFrom: clock.Now()}},
	}
}

// SetCapacity sets the number of the upstream's slots.
func (q *Queue) SetCapacity(slots, _ int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.dispatch()
}

// SetRate sets the limit that the upstream states; calls start no faster, and wait or are refused meanwhile.
func (q *Queue) SetRate(r pomelo.RateStatement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cancelStart != nil {
		q.cancelStart()
		q.cancelStart = nil
	}
	q.pacer.set(q.clock.Now(), r)
	q.dispatch()
}

// SetWarmup limits the starts while the upstream is cold. Waiting calls that can't start in time at this rate are refused immediately, so that their senders can send them to another upstream.
func (q *Queue) SetWarmup(w pomelo.Warmup) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cancelStart != nil {
		q.cancelStart()
		q.cancelStart = nil
	}
	q.pacer.setWarmup(q.clock.Now(), w)
	if w.PerSecond > 0 {
		q.shedLate()
	}
	q.dispatch()
}

// RecentStarts returns the number of calls that have started in the last second.
func (q *Queue) RecentStarts() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pacer.recent.count(q.clock.Now())
}

// Capacity returns the number of calls that the upstream can run at the same time; under a stated limit or while it is cold, those that start in the mean run time.
func (q *Queue) Capacity() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if !q.pacer.isLimited(now) {
		return float64(q.slots)
	}
	return min(float64(q.slots), max(1, q.pacer.perSecond(now)*q.meanRunTime/millisPerSecond))
}

// ShedThreshold returns the position in the shedding order below which the account's calls are being refused.
func (q *Queue) ShedThreshold(account string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cutoff.Advance(q.clock.Now(), q.immediateShare < saturatedShare)
	return q.cutoff.Of(account)
}

// Acquire blocks until the call has a slot; its error is the *pomelo.Fault of a call that did not run.
func (q *Queue) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	w, err := q.admitOrQueue(c)
	if err != nil {
		return nil, err
	}
	select {
	case f := <-w.decision:
		return q.permitFor(w, f)
	default:
	}
	timed, cancel := context.WithTimeout(ctx, (w.latestStart() - w.arrived).Duration())
	defer cancel()
	select {
	case f := <-w.decision:
		return q.permitFor(w, f)
	case <-timed.Done():
		return q.abandon(ctx, w)
	}
}

func (q *Queue) permitFor(w *waiter, f *pomelo.Fault) (pomelo.Permit, error) {
	if f != nil {
		return nil, f
	}
	return &permit{queue: q, waiter: w}, nil
}

func (q *Queue) admitOrQueue(c pomelo.Call) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastSequence++
	w := &waiter{
		call:     c,
		arrived:  q.clock.Now(),
		runTime:  q.expectedRunTime(c.RouteName),
		sequence: q.lastSequence,
		decision: make(chan *pomelo.Fault, 1),
		rank:     rank.Of(c),
	}
	q.cutoff.Advance(w.arrived, q.immediateShare < saturatedShare)
	q.cutoff.RecordArrival(c.FairShareAccount, w.rank.Importance)
	q.immediateShare -= arrivalWeight * q.immediateShare
	if q.running < q.slots && len(q.waiting) == 0 && q.pacer.tryStart(w.arrived) {
		q.immediateShare += arrivalWeight
		q.admit(w)
		return w, nil
	}
	if f := q.checkWait(w); f != nil {
		q.cutoff.RecordRefused(c.FairShareAccount, w.rank.Importance)
		return nil, f
	}
	i, _ := slices.BinarySearchFunc(q.waiting, w, compareOrder)
	q.waiting = slices.Insert(q.waiting, i, w)
	q.trim()
	q.dispatch()
	return w, nil
}

// checkWait refuses an arriving call that, behind the calls ahead of it, can't start in time.
func (q *Queue) checkWait(w *waiter) *pomelo.Fault {
	ahead := 0
	for _, o := range q.waiting {
		if o.before(w) {
			ahead++
		}
	}
	wait := q.expectedWait(ahead)
	if w.arrived+wait > w.latestStart() || wait > q.maxWait(w) {
		return q.overloadFault("the upstream's queue is too long for the time left")
	}
	return nil
}

func (q *Queue) maxWait(w *waiter) pomelo.Millis {
	if w.call.LatencyObjective <= 0 {
		return w.call.Deadline - w.arrived
	}
	return pomelo.Millis(maxWaitShare * float64(w.call.LatencyObjective))
}

// expectedWait returns the expected wait, in milliseconds, of a call with so many others ahead of it.
func (q *Queue) expectedWait(ahead int) pomelo.Millis {
	if q.slots <= 0 {
		return maxDrainTime
	}
	wait := pomelo.Millis(float64(ahead+1) * q.meanRunTime / float64(q.slots))
	return max(wait, q.pacer.wait(q.clock.Now(), ahead))
}

// shedLate sheds the waiting calls that, behind the calls ahead of them, can't start in time at the present rate.
func (q *Queue) shedLate() {
	now := q.clock.Now()
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		start := now + q.pacer.wait(now, len(kept))
		if start > w.latestStart() || start-w.arrived > q.maxWait(w) {
			q.shed(w, "the upstream has become cold and starts too few calls for the time left")
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// trim sheds the last calls of a queue that is too long.
func (q *Queue) trim() {
	for len(q.waiting) > max(1, maxWaitingPerSlot*q.slots) {
		last := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		q.shed(last, "more important calls wait")
	}
}

// dispatch admits waiting calls in their order while slots are free and the upstream's limit allows it, and sheds those that can't end in time.
func (q *Queue) dispatch() {
	now := q.clock.Now()
	for q.running < q.slots && len(q.waiting) > 0 {
		w := q.waiting[0]
		isLate := now > w.latestStart()
		if !isLate && !q.pacer.tryStart(now) {
			q.scheduleStart(now)
			return
		}
		q.waiting = slices.Delete(q.waiting, 0, 1)
		if isLate {
			q.shed(w, "the call waited too long to end in time")
			continue
		}
		q.admit(w)
	}
}

// scheduleStart dispatches again once the pacer allows a start.
func (q *Queue) scheduleStart(now pomelo.Millis) {
	if q.cancelStart != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	q.cancelStart = cancel
	wait := q.pacer.retryIn(now)
	go func() {
		defer cancel()
		_ = q.clock.Sleep(ctx, wait)
		q.mu.Lock()
		defer q.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		q.cancelStart = nil
		q.dispatch()
	}()
}

func (q *Queue) shed(w *waiter, message string) {
	q.cutoff.RecordRefused(w.call.FairShareAccount, w.rank.Importance)
	w.decide(q.overloadFault(message))
}

func (q *Queue) admit(w *waiter) {
	q.running++
	q.cutoff.RecordServed(w.rank.Importance)
	w.decide(nil)
}

func (w *waiter) decide(f *pomelo.Fault) {
	w.decided = true
	w.decision <- f
}

// abandon ends the wait of a call whose context ended or whose time ran out; if the call has been admitted at the same moment, its slot is released.
func (q *Queue) abandon(ctx context.Context, w *waiter) (pomelo.Permit, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.decided {
		if f := <-w.decision; f != nil {
			return nil, f
		}
		q.running--
		q.dispatch()
	} else if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	if ctx.Err() != nil {
		return nil, pomelo.NewFault(pomelo.KindCanceled, "the caller gave the call up while it waited", "send it again if it is still wanted")
	}
	q.cutoff.RecordRefused(w.call.FairShareAccount, w.rank.Importance)
	return nil, q.overloadFault("the call waited too long to end in time")
}

func (q *Queue) expectedRunTime(route string) pomelo.Millis {
	if r, ok := q.runTimes[route]; ok {
		return pomelo.Millis(r)
	}
	return 0
}

// overloadFault returns a refusal whose RetryAfter is the drain time of the queue with jitter, so that callers don't retry at the same time.
func (q *Queue) overloadFault(message string) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindOverload, message, "come back after the given time")
	drain := min(q.expectedWait(len(q.waiting)), maxDrainTime)
	f.RetryAfter = minRetryAfter + pomelo.Millis(float64(drain)*(0.5+q.random.Float64()))
	return f
}

func (q *Queue) release(w *waiter, runTime pomelo.Millis, complete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if complete {
		q.updateRunTimes(w.call.RouteName, float64(runTime))
	}
	q.dispatch()
}

func (q *Queue) updateRunTimes(route string, runTime float64) {
	q.meanRunTime += runTimeWeight * (runTime - q.meanRunTime)
	if r, ok := q.runTimes[route]; ok {
		q.runTimes[route] = r + runTimeWeight*(runTime-r)
		return
	}
	q.runTimes[route] = runTime
}

// Load returns the number of running calls, of waiting calls and of the upstream's slots.
func (q *Queue) Load() (running, waiting, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.slots
}

func compareOrder(a, b *waiter) int {
	if a.before(b) {
		return -1
	}
	return 1
}
