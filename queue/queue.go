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
	// runWeight is how fast the expected run time of a route follows its calls.
	runWeight = 0.1
	// firstRun is the expected run time, in milliseconds, before the first call has ended.
	firstRun = 50.0
	// waitShare is the part of a call's latency objective that it may spend in the queue.
	waitShare = 0.5
	// returnLeast is the shortest time, in milliseconds, that a refused caller is told to stay away.
	returnLeast = pomelo.Millis(100)
	// returnMost bounds it where the queue's drain rate is not known yet.
	returnMost = pomelo.Millis(2_000)
	// crowdedShare is the share of arrivals that find a free slot, below which no cutoff is lowered.
	crowdedShare = 0.2
	// arrivalWeight is how much one arrival moves that share.
	arrivalWeight = 0.05
	// mostWaiting bounds the waiting calls by the slots.
	mostWaiting = 8
)

// Queue implements pomelo.Gate over an upstream's announced slots.
type Queue struct {
	clock   pomelo.Clock
	mu      sync.Mutex
	slots   int
	running int
	waiting []*ticket
	numbers uint64
	runs    map[string]float64
	mean    float64
	random  *rand.Rand
	cutoff  *cutoff.Cutoff
	// free is the share of arrivals that found a free slot lately.
	free float64
}

// New returns a queue that runs nothing before Announce.
func New(clock pomelo.Clock, seed uint64, opts ...func(*Queue)) *Queue {
	q := &Queue{
		clock:  clock,
		runs:   map[string]float64{},
		mean:   firstRun,
		random: rand.New(rand.NewPCG(seed, seed)),
		cutoff: cutoff.New(),
		free:   1,
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// SetCapacity sets the upstream's slots.
func (q *Queue) SetCapacity(slots, _ int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.start()
}

// ShedThreshold is the position in the order of shedding below which the account's calls are being refused here.
func (q *Queue) ShedThreshold(account string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cutoff.Advance(q.clock.Now(), q.free < crowdedShare)
	return q.cutoff.Of(account)
}

// Acquire waits for a slot; the error is a *pomelo.Fault of a call that did not run.
func (q *Queue) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	t, err := q.join(c)
	if err != nil {
		return nil, err
	}
	select {
	case f := <-t.verdict:
		return q.admitted(t, f)
	default:
	}
	timer, cancel := context.WithTimeout(ctx, (t.latest() - t.arrived).Duration())
	defer cancel()
	select {
	case f := <-t.verdict:
		return q.admitted(t, f)
	case <-timer.Done():
		return q.abandon(ctx, t)
	}
}

func (q *Queue) admitted(t *ticket, f *pomelo.Fault) (pomelo.Permit, error) {
	if f != nil {
		return nil, f
	}
	return &pass{queue: q, ticket: t}, nil
}

func (q *Queue) join(c pomelo.Call) (*ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.numbers++
	t := &ticket{
		call:    c,
		arrived: q.clock.Now(),
		run:     q.expected(c.RouteName),
		number:  q.numbers,
		verdict: make(chan *pomelo.Fault, 1),
		rank:    rank.Of(c),
	}
	q.cutoff.Advance(t.arrived, q.free < crowdedShare)
	q.cutoff.Arrived(c.FairShareAccount, t.rank.Importance)
	q.free -= arrivalWeight * q.free
	if q.running < q.slots && len(q.waiting) == 0 {
		q.free += arrivalWeight
		q.run(t)
		return t, nil
	}
	if f := q.turnAway(t); f != nil {
		q.cutoff.Refused(c.FairShareAccount, t.rank.Importance)
		return nil, f
	}
	at, _ := slices.BinarySearchFunc(q.waiting, t, compare)
	q.waiting = slices.Insert(q.waiting, at, t)
	q.trim()
	q.start()
	return t, nil
}

// turnAway refuses on arrival what can't start in time behind those before it.
func (q *Queue) turnAway(t *ticket) *pomelo.Fault {
	ahead := 0
	for _, w := range q.waiting {
		if w.before(t) {
			ahead++
		}
	}
	wait := q.waitBehind(ahead)
	if t.arrived+wait > t.latest() || wait > q.patience(t) {
		return q.refusal("the upstream's queue is too long for the time left")
	}
	return nil
}

func (q *Queue) patience(t *ticket) pomelo.Millis {
	if t.call.LatencyObjective <= 0 {
		return t.call.Deadline - t.arrived
	}
	return pomelo.Millis(waitShare * float64(t.call.LatencyObjective))
}

// waitBehind is how long a call waits with so many before it, in milliseconds.
func (q *Queue) waitBehind(ahead int) pomelo.Millis {
	if q.slots <= 0 {
		return returnMost
	}
	return pomelo.Millis(float64(ahead+1) * q.mean / float64(q.slots))
}

// trim refuses the last of a queue that is too long.
func (q *Queue) trim() {
	for len(q.waiting) > max(1, mostWaiting*q.slots) {
		last := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		q.drop(last, "more important calls wait")
	}
}

// start gives free slots to the first in the queue that can still end in time.
func (q *Queue) start() {
	now := q.clock.Now()
	for q.running < q.slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now > t.latest() {
			q.drop(t, "the call waited too long to end in time")
			continue
		}
		q.run(t)
	}
}

func (q *Queue) drop(t *ticket, message string) {
	q.cutoff.Refused(t.call.FairShareAccount, t.rank.Importance)
	t.decide(q.refusal(message))
}

func (q *Queue) run(t *ticket) {
	q.running++
	q.cutoff.Served(t.rank.Importance)
	t.decide(nil)
}

func (t *ticket) decide(f *pomelo.Fault) {
	t.done = true
	t.verdict <- f
}

// abandon takes a waiting call out; one that has just been let in gives its slot back.
func (q *Queue) abandon(ctx context.Context, t *ticket) (pomelo.Permit, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.done {
		if f := <-t.verdict; f != nil {
			return nil, f
		}
		q.running--
		q.start()
	} else if at := slices.Index(q.waiting, t); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	if ctx.Err() != nil {
		return nil, pomelo.NewFault(pomelo.KindCanceled, "the caller gave the call up while it waited", "send it again if it is still wanted")
	}
	q.cutoff.Refused(t.call.FairShareAccount, t.rank.Importance)
	return nil, q.refusal("the call waited too long to end in time")
}

func (q *Queue) expected(route string) pomelo.Millis {
	if r, ok := q.runs[route]; ok {
		return pomelo.Millis(r)
	}
	return 0
}

// refusal tells the caller to come back when the queue has drained, spread so that callers don't return together.
func (q *Queue) refusal(message string) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindOverload, message, "come back after the given time")
	drain := min(q.waitBehind(len(q.waiting)), returnMost)
	f.RetryAfter = returnLeast + pomelo.Millis(float64(drain)*(0.5+q.random.Float64()))
	return f
}

func (q *Queue) leave(t *ticket, own pomelo.Millis, whole bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if whole {
		q.learn(t.call.RouteName, float64(own))
	}
	q.start()
}

func (q *Queue) learn(route string, took float64) {
	q.mean += runWeight * (took - q.mean)
	if r, ok := q.runs[route]; ok {
		q.runs[route] = r + runWeight*(took-r)
		return
	}
	q.runs[route] = took
}

// Load is how many calls run and wait, and the slots.
func (q *Queue) Load() (running, waiting, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.slots
}

func compare(a, b *ticket) int {
	if a.before(b) {
		return -1
	}
	return 1
}
