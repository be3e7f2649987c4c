package worker

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/uplink"
)

// drainReturn is when a caller may find another upstream in place of one that leaves, in milliseconds.
const drainReturn = pomelo.Millis(200)

// Worker implements pomelo.Handler for this node's upstream.
type Worker struct {
	clock   pomelo.Clock
	gate    pomelo.ConcurrencyLimiter
	link    *uplink.Client
	metrics pomelo.Metrics
	log     pomelo.Logger
	changed func(pomelo.Instance, bool)

	mu       sync.Mutex
	state    state
	running  map[string]*record
	count    int
	draining bool
}

// New returns a worker without an upstream; changed is told of each change of it, and whether it takes calls.
func New(clock pomelo.Clock, gate pomelo.ConcurrencyLimiter, link *uplink.Client, metrics pomelo.Metrics, log pomelo.Logger, changed func(pomelo.Instance, bool), opts ...func(*Worker)) *Worker {
	w := &Worker{
		clock:   clock,
		gate:    gate,
		link:    link,
		metrics: metrics,
		log:     log,
		changed: changed,
		running: map[string]*record{},
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Announce takes a heartbeat; late and repeated ones change nothing.
func (w *Worker) Announce(i pomelo.Instance) {
	w.mu.Lock()
	if !w.state.outdates(i) {
		w.mu.Unlock()
		w.log.Info("heartbeat_ignored", "upstream", i.ID, "born", i.StartedAt, "sequence", i.Sequence, "reason", "outdated")
		return
	}
	before := w.state
	w.state = state{instance: i, known: true}
	fresh := !before.known || describes(before.instance) != describes(i)
	w.mu.Unlock()
	if !fresh {
		return
	}
	w.log.Info("upstream_changed", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "sequence", i.Sequence, "slots", i.Slots, "leaving", i.Draining, "warmup_ms", i.WarmupLeft)
	w.gate.SetCapacity(i.Slots, 0)
	w.changed(i, !i.Draining)
}

// Resume goes on with the upstream that the process before this one knew, until a heartbeat says otherwise.
func (w *Worker) Resume(i pomelo.Instance) {
	w.mu.Lock()
	if w.state.known {
		w.mu.Unlock()
		return
	}
	w.state = state{instance: i, known: true}
	w.mu.Unlock()
	w.log.Info("upstream_resumed", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "slots", i.Slots)
	w.gate.SetCapacity(i.Slots, 0)
	w.changed(i, true)
}

// Withdraw takes a deregistration; born is 0 where the upstream does not say which start it is of.
func (w *Worker) Withdraw(id string, born pomelo.Millis) {
	w.mu.Lock()
	i := w.state.instance
	if !w.state.known || i.ID != id || born != 0 && born < i.StartedAt {
		w.mu.Unlock()
		w.log.Info("withdrawal_ignored", "upstream", id, "born", born, "known", i.ID)
		return
	}
	w.state.instance.Draining = true
	i = w.state.instance
	w.mu.Unlock()
	w.log.Info("upstream_withdrawn", "upstream", id, "born", i.StartedAt)
	w.changed(i, false)
}

// identity is what of an upstream concerns others.
type identity struct {
	id      string
	address string
	service string
	born    pomelo.Millis
	slots   int
	leaving bool
}

func describes(i pomelo.Instance) identity {
	return identity{id: i.ID, address: i.Address, service: i.Service, born: i.StartedAt, slots: i.Slots, leaving: i.Draining}
}

// Drain has new calls refused as not run; those that run go on.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// Running counts the calls that run or wait.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// Parent is the running call that a sub-call with this id prefix serves.
func (w *Worker) Parent(id string) (pomelo.Call, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.running[id]
	if !ok {
		return pomelo.Call{}, false
	}
	return r.call, true
}

// Visited notes what a sub-call of the running call met.
func (w *Worker) Visited(id string, visits []pomelo.SubtreeCalls) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.running[id]; ok {
		r.visit(visits)
	}
}

// Handle runs one call; its refusals are final, and it spends no retries.
func (w *Worker) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	a := w.handle(ctx, c)
	a.RetriesLeft = c.RetriesLeft
	return a
}

func (w *Worker) handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	arrived := w.clock.Now()
	c.Deadline = arrived + c.TimeLeft
	if _, ok := ctx.Deadline(); !ok {
		timed, cancel := context.WithTimeout(ctx, c.TimeLeft.Duration())
		defer cancel()
		ctx = timed
	}
	if f := w.admit(c); f != nil {
		return pomelo.Refuse(c.ID, f)
	}
	a := w.enter(ctx, c, arrived)
	own := pomelo.SubtreeCalls{Service: c.Service, Calls: 1, ShedThreshold: w.gate.ShedThreshold(c.FairShareAccount)}
	a.SubtreeCalls = append(w.release(c), own)
	a.Load = w.load()
	return a
}

func (w *Worker) enter(ctx context.Context, c pomelo.Call, arrived pomelo.Millis) pomelo.Answer {
	pass, err := w.gate.Acquire(ctx, c)
	if err != nil {
		return w.refused(c, pomelo.FaultOf(err), arrived)
	}
	began := w.clock.Now()
	a := w.run(ctx, c)
	took := w.clock.Now() - began
	pass.Release(took, a.Refusal == nil)
	w.metrics.Time("worker.wait", float64(began-arrived))
	w.metrics.Time("worker.run", float64(took))
	if a.Refusal != nil {
		return w.failed(c, a, arrived, took)
	}
	a.SelfTime = took
	return a
}

func (w *Worker) run(ctx context.Context, c pomelo.Call) pomelo.Answer {
	i, f := w.upstream(c.Service)
	if f != nil {
		return pomelo.Refuse(c.ID, f)
	}
	a := w.link.Do(ctx, i, c)
	a.ReachedUpstream = true
	return a
}

// upstream is looked at again right before the call is sent, since it may have left meanwhile.
func (w *Worker) upstream(service string) (pomelo.Instance, *pomelo.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.state.instance
	if !w.state.known || i.Service != service {
		return i, pomelo.NewFault(pomelo.KindNoUpstream, "no upstream of service "+service+" is beside this node", "send the request to another upstream")
	}
	if i.Draining || w.draining {
		f := pomelo.NewFault(pomelo.KindDraining, "the upstream takes no new calls", "send the request to another upstream")
		f.RetryAfter = drainReturn
		return i, f
	}
	return i, nil
}

func (w *Worker) admit(c pomelo.Call) *pomelo.Fault {
	if _, f := w.upstream(c.Service); f != nil {
		return f
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	w.running[c.ID] = &record{call: c}
	return nil
}

// load is the calls that run and wait by the upstream's slots.
func (w *Worker) load() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.count) / float64(max(w.state.instance.Slots, 1))
}

// release ends the call's record and returns what its sub-calls met.
func (w *Worker) release(c pomelo.Call) []pomelo.SubtreeCalls {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	r := w.running[c.ID]
	delete(w.running, c.ID)
	return r.visits
}

func (w *Worker) refused(c pomelo.Call, f *pomelo.Fault, arrived pomelo.Millis) pomelo.Answer {
	w.metrics.Count("worker.refused."+string(f.Kind), 1)
	w.log.Info("call_refused", "request", c.ID, "root", c.RootID, "service", c.Service, "kind", f.Kind, "reason", f.Message, "waited_ms", w.clock.Now()-arrived, "left_ms", c.Deadline-w.clock.Now(), "importance", c.Importance, "share", c.FairShareAccount, "retry_after_ms", f.RetryAfter)
	return pomelo.Refuse(c.ID, f)
}

func (w *Worker) failed(c pomelo.Call, a pomelo.Answer, arrived, took pomelo.Millis) pomelo.Answer {
	f := a.Refusal
	w.metrics.Count("worker.failed."+string(f.Kind), 1)
	w.log.Info("call_failed", "request", c.ID, "root", c.RootID, "service", c.Service, "kind", f.Kind, "reason", f.Message, "ran", f.Ran, "took_ms", took, "waited_ms", w.clock.Now()-arrived-took)
	return a
}
