package fence

import (
	"context"
	"io"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/logs"
)

// Limits of the records. recordOverheadBytes is the estimated memory of a record without its answer; when the record limit is exceeded, the table removes a further 1/removalBatchDivisor of the limit.
const (
	sweepInterval         = pomelo.Millis(1000)
	answerRetentionSweeps = 15
	defaultMaxFinished    = 20_000
	defaultMaxFenced      = 20_000
	defaultMaxAnswerBytes = 8 << 20
	recordOverheadBytes   = 512
	removalBatchDivisor   = 16
)

// recordRetentionSweeps is the number of sweeps for which records and fences are retained: slightly longer than pomelo.FenceRetention. Sweeps count only running time, so that a frozen process expires nothing.
const recordRetentionSweeps = int(pomelo.FenceRetention/sweepInterval) + 2

// Table implements pomelo.Handler, as a wrapper that records calls to the next handler, and pomelo.Fencer.
type Table struct {
	clock          pomelo.Clock
	next           pomelo.Handler
	log            pomelo.Logger
	maxFinished    int
	maxFenced      int
	maxAnswerBytes int

	mu      sync.Mutex
	records map[string]*record
	// Sorted by the time at which each record finished or was fenced.
	finished []*record
	fenced   []*record
	// Index in finished of the first record that may still have its answer.
	firstWithAnswer int
	answerBytes     int
	sweep           int
	// The last sweep at which a record may be missing because of the record limit.
	incompleteUntil int
}

// New returns a table that passes calls to next; by default it retains up to 20,000 finished calls, 20,000 fences, and 8 MiB of answers.
func New(clock pomelo.Clock, next pomelo.Handler, opts ...func(*Table)) *Table {
	t := &Table{
		clock:           clock,
		next:            next,
		log:             logs.New(io.Discard),
		maxFinished:     defaultMaxFinished,
		maxFenced:       defaultMaxFenced,
		maxAnswerBytes:  defaultMaxAnswerBytes,
		records:         map[string]*record{},
		incompleteUntil: -1,
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithLimits sets the maximum numbers of finished calls and fences, and the maximum size of retained answers in bytes.
func WithLimits(maxFinished, maxFenced, maxAnswerBytes int) func(*Table) {
	return func(t *Table) {
		t.maxFinished = maxFinished
		t.maxFenced = maxFenced
		t.maxAnswerBytes = maxAnswerBytes
	}
}

// WithLog logs the calls that a record answers again and the calls in doubt that are asked for.
func WithLog(log pomelo.Logger) func(*Table) {
	return func(t *Table) { t.log = log }
}

// Run calls Sweep once per sweep interval until the context ends.
func (t *Table) Run(ctx context.Context) {
	for t.clock.Sleep(ctx, sweepInterval) == nil {
		t.Sweep()
	}
}

// Handle runs a call once: another call with the same id gets the same answer, and a fenced call is refused as not run.
func (t *Table) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	r, isNew := t.begin(c)
	if !isNew {
		a := t.await(ctx, r)
		t.log.Info("call_repeated", "request", c.ID, "root", c.RootID, "service", c.Service, "ran", ranOf(a))
		return a
	}
	runCtx, cancel := r.detach(ctx)
	defer cancel(nil)
	a := t.next.Handle(runCtx, c)
	t.finish(r, a)
	return a
}

// Resolve implements pomelo.Fencer.
func (t *Table) Resolve(ctx context.Context, q pomelo.FenceRequest) pomelo.Answer {
	r := t.findOrFence(q)
	if r == nil {
		return pomelo.Refuse(q.ID, inDoubt())
	}
	a := t.await(ctx, r)
	t.log.Info("call_resolved", "request", q.ID, "ran", ranOf(a))
	return a
}

// ranOf states whether the call of the answer has run.
func ranOf(a pomelo.Answer) pomelo.Ran {
	if a.Refusal == nil {
		return pomelo.RanYes
	}
	return a.Refusal.Ran
}

// await waits for the record's answer; if a waiter cancels, the call is cancelled.
func (t *Table) await(ctx context.Context, r *record) pomelo.Answer {
	removeWaiter := r.addWaiter(ctx)
	defer removeWaiter()
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
	if r.answerDropped {
		f := pomelo.NewFault(pomelo.KindInDoubt, "the call has ended and its answer is no longer kept", "ask for its outcome before repeating it")
		f.Ran = r.ran
		return pomelo.Refuse(r.id, f)
	}
	return r.answer
}
