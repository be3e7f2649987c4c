package fence

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Bounds of the records; times are in milliseconds.
const (
	sweepEvery      = pomelo.Millis(1000)
	answerSweeps    = 15
	defaultFinished = 20_000
	defaultFenced   = 20_000
	defaultBytes    = 8 << 20
	recordBytes     = 512
	forgetShare     = 16
)

// memorySweeps is a little more than FenceMemory; sweeps count running time, so that a frozen process forgets nothing.
const memorySweeps = int(pomelo.FenceRetention/sweepEvery) + 2

// Table implements pomelo.Handler around the next one, and pomelo.Fencer.
type Table struct {
	clock       pomelo.Clock
	next        pomelo.Handler
	maxFinished int
	maxFenced   int
	maxBytes    int

	mu      sync.Mutex
	records map[string]*record
	// finished and fenced are in the order in which their records became so.
	finished []*record
	fenced   []*record
	// kept is the index in finished of the first record that may still hold its answer.
	kept  int
	bytes int
	sweep int
	// forgetful is the sweep until which a record may be missing because of the bound.
	forgetful int
}

// New returns a table that hands calls to next and remembers 20,000 finished calls, as many fences, and 8 MiB of answers.
func New(clock pomelo.Clock, next pomelo.Handler, opts ...func(*Table)) *Table {
	t := &Table{
		clock:       clock,
		next:        next,
		maxFinished: defaultFinished,
		maxFenced:   defaultFenced,
		maxBytes:    defaultBytes,
		records:     map[string]*record{},
		forgetful:   -1,
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithLimits bounds the finished calls and the fences that are remembered, and the bytes of the answers that are kept.
func WithLimits(finished, fenced, bytes int) func(*Table) {
	return func(t *Table) {
		t.maxFinished = finished
		t.maxFenced = fenced
		t.maxBytes = bytes
	}
}

// Run forgets what is old enough until the context ends.
func (t *Table) Run(ctx context.Context) {
	for t.clock.Sleep(ctx, sweepEvery) == nil {
		t.Sweep()
	}
}

// Handle runs the call once: a repeat of its id gets the same answer, and one that was fenced is refused as not run.
func (t *Table) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	r, fresh := t.begin(c)
	if !fresh {
		return t.await(ctx, r)
	}
	run, cancel := r.detach(ctx)
	defer cancel(nil)
	a := t.next.Handle(run, c)
	t.finish(r, a)
	return a
}

// Resolve implements pomelo.Fencer.
func (t *Table) Resolve(ctx context.Context, q pomelo.FenceRequest) pomelo.Answer {
	r := t.find(q)
	if r == nil {
		return pomelo.Refuse(q.ID, inDoubt())
	}
	return t.await(ctx, r)
}

// await returns the record's answer; a wait that its caller cancels cancels the call.
func (t *Table) await(ctx context.Context, r *record) pomelo.Answer {
	release := r.attach(ctx)
	defer release()
	select {
	case <-r.done:
		return t.outcome(r)
	case <-ctx.Done():
		return pomelo.Refuse(r.id, inDoubt())
	}
}

func (t *Table) outcome(r *record) pomelo.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.dropped {
		f := pomelo.NewFault(pomelo.KindInDoubt, "the call has ended and its answer is no longer kept", "ask for its outcome before repeating it")
		f.Ran = r.ran
		return pomelo.Refuse(r.id, f)
	}
	return r.answer
}
