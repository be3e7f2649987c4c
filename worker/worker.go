package worker

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/detect"
	"github.com/pomeloworks/pomelo/filter"
	"github.com/pomeloworks/pomelo/guard"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/pomeloworks/pomelo/warmup"
)

// Worker implements pomelo.Handler for this node's upstream.
type Worker struct {
	clock    pomelo.Clock
	limiter  pomelo.PacedLimiter
	link     *uplink.Client
	detector *detect.Detector
	filter   *filter.Filter
	metrics  pomelo.Metrics
	log      pomelo.Logger
	onChange func(pomelo.Instance, bool)
	// onWithdrawals is called with the withdrawals of unknown upstreams when they have changed.
	onWithdrawals func([]pomelo.Withdrawal)
	guard         *guard.Guard
	service       func(name string) (pomelo.TrafficService, bool)
	// evacuation is set by WithEvacuations.
	evacuation evacuation

	// resuming is set until the record of the node's previous process has been read, which may say that the upstream has left.
	resuming atomic.Bool
	// resumeUntil is the time, by the clock, until which a resumed upstream is used without a heartbeat.
	resumeUntil pomelo.Millis

	mu      sync.Mutex
	state   state
	rate    pomelo.RateStatement
	tracker *warmup.Tracker
	// warmup is the limit of a cold upstream as it was last applied, and warmupSource what it was known from.
	warmup       pomelo.Warmup
	warmupSource pomelo.WarmupSource
	// responded is true once this process has had a response of the upstream's present start.
	responded bool
	// unreadableRate is the last limit stated by the upstream that is not a number.
	unreadableRate string
	running        map[string]*runningCall
	inFlight       int
	draining       bool
	// stopBy is the time by which calls must be answered because the process ends, or 0.
	stopBy pomelo.Millis
	// waiting refuses the waiting calls when the worker drains; nil if none wait.
	waiting pomelo.WaitingRefuser
}

// New returns a worker without an upstream; onChange is called at each change of the upstream, in their order, with whether it accepts calls; it must neither block nor call the worker.
func New(clock pomelo.Clock, limiter pomelo.PacedLimiter, link *uplink.Client, detector *detect.Detector, crashes *filter.Filter, metrics pomelo.Metrics, log pomelo.Logger, onChange func(pomelo.Instance, bool), opts ...func(*Worker)) *Worker {
	w := &Worker{
		clock:         clock,
		limiter:       limiter,
		link:          link,
		detector:      detector,
		filter:        crashes,
		metrics:       metrics,
		log:           log,
		onChange:      onChange,
		onWithdrawals: func([]pomelo.Withdrawal) {},
		guard:         guard.New(log),
		service:       func(string) (pomelo.TrafficService, bool) { return pomelo.TrafficService{}, false },
		tracker:       warmup.New(),
		running:       map[string]*runningCall{},
	}
	w.resumeUntil = clock.Now() + defaultResumeTime
	for _, o := range opts {
		o(w)
	}
	link.OnResponse(w.recordResponse)
	link.OnSkipped(w.logSkipped)
	link.OnRejected(w.logRejected)
	link.OnRefused(w.recordRefused)
	return w
}

// WithWithdrawals sets the function that is called, like onChange, with the deregistrations of unknown upstreams when they have changed.
func WithWithdrawals(f func([]pomelo.Withdrawal)) func(*Worker) {
	return func(w *Worker) { w.onWithdrawals = f }
}

// Announce applies a heartbeat of the upstream; late and repeated heartbeats are ignored.
func (w *Worker) Announce(i pomelo.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.state.isReplacedBy(i) {
		w.log.Info("heartbeat_ignored", "upstream", i.ID, "born", i.StartedAt, "sequence", i.Sequence, "reason", "outdated")
		return
	}
	previous := w.state
	w.state.replace(i)
	w.onWithdrawals(slices.Clone(w.state.withdrawals))
	w.tracker.Heartbeat(w.clock.Now(), i)
	i = w.state.instance
	// The limit applies before waiting calls start at an upstream that states no other.
	w.applyWarmup()
	if !previous.isSameStart(i) {
		w.responded = false
		w.rate = pomelo.RateStatement{}
		w.unreadableRate = ""
		w.limiter.SetRate(w.rate)
	}
	if previous.known && identityOf(previous.instance) == identityOf(i) {
		return
	}
	w.log.Info("upstream_changed", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "sequence", i.Sequence, "slots", i.Slots, "leaving", i.Draining, "warmup_ms", i.WarmupLeft)
	w.limiter.SetCapacity(i.Slots, 0)
	w.onChange(i, !i.Draining)
}

// Withdraw applies a deregistration of the upstream; startedAt is the start time of the upstream process, or 0 for the start known last. It counts until the upstream starts again, since heartbeats from before it may arrive later.
func (w *Worker) Withdraw(id string, startedAt pomelo.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.state.instance
	if w.state.known && i.ID == id && startedAt != 0 && startedAt < i.StartedAt {
		w.log.Info("withdrawal_ignored", "upstream", id, "born", startedAt, "known_born", i.StartedAt)
		return
	}
	if !w.state.known || i.ID != id || startedAt > i.StartedAt {
		// Its record or a late heartbeat may still be read.
		w.log.Info("withdrawal_kept", "upstream", id, "born", startedAt, "known", i.ID)
		w.state.withdrawals.add(pomelo.Withdrawal{ID: id, StartedAt: startedAt})
		w.onWithdrawals(slices.Clone(w.state.withdrawals))
	}
	if !w.state.known || i.ID != id {
		return
	}
	w.state.leave()
	i = w.state.instance
	w.log.Info("upstream_withdrawn", "upstream", id, "born", i.StartedAt, "left", i.Left)
	w.onChange(i, false)
}

// identity holds the fields of an instance whose change is reported to onChange.
type identity struct {
	id        string
	address   string
	service   string
	startedAt pomelo.Millis
	slots     int
	draining  bool
}

func identityOf(i pomelo.Instance) identity {
	return identity{id: i.ID, address: i.Address, service: i.Service, startedAt: i.StartedAt, slots: i.Slots, draining: i.Draining}
}

// Running returns the number of running and waiting calls.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

// Parent returns the running call with this id, which is the prefix of its sub-calls' ids.
func (w *Worker) Parent(id string) (pomelo.Call, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.running[id]
	if !ok {
		return pomelo.Call{}, false
	}
	return r.call, true
}

// AddSubtreeCalls adds the subtree calls of a sub-call to the running call with this id; it does nothing if that call has finished.
func (w *Worker) AddSubtreeCalls(id string, calls []pomelo.SubtreeCalls) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.running[id]; ok {
		r.addSubtreeCalls(calls)
	}
}

// Handle runs one call at the upstream; its refusals are final, and it spends no retries.
func (w *Worker) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if c.Notice != nil {
		w.adopt(*c.Notice)
	}
	a := w.handle(ctx, c)
	a.RetriesLeft = c.RetriesLeft
	a.Notice = w.notice()
	return a
}

func (w *Worker) handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	arrived := w.clock.Now()
	c.Deadline = arrived + c.TimeLeft
	if f := w.limitTime(&c, arrived); f != nil {
		return w.refuse(c, f, arrived)
	}
	if _, ok := ctx.Deadline(); !ok {
		timed, cancel := context.WithTimeout(ctx, c.TimeLeft.Duration())
		defer cancel()
		ctx = timed
	}
	if f := w.register(c); f != nil {
		return w.refuse(c, f, arrived)
	}
	a := w.waitAndRun(ctx, c, arrived)
	ownCall := pomelo.SubtreeCalls{Service: c.Service, Calls: 1, ShedThreshold: w.limiter.ShedThreshold(c.FairShareAccount)}
	a.SubtreeCalls = append(w.release(c), ownCall)
	a.Capacity = w.limiter.Capacity()
	a.Load = float64(w.Running()) / max(a.Capacity, 1)
	return a
}

func (w *Worker) waitAndRun(ctx context.Context, c pomelo.Call, arrived pomelo.Millis) pomelo.Answer {
	permit, err := w.limiter.Acquire(ctx, c)
	if err != nil {
		return w.refuse(c, pomelo.FaultOf(err), arrived)
	}
	started := w.clock.Now()
	// A panic must not keep the permit.
	a := pomelo.Refuse(c.ID, guard.Fault())
	w.guard.Run("upstream_call", c.ID, func() { a = w.run(ctx, c) })
	runTime := w.clock.Now() - started
	permit.Release(runTime, a.Refusal == nil)
	w.metrics.Time("worker.wait", float64(started-arrived))
	w.metrics.Time("worker.run", float64(runTime))
	w.recordRun(c, a, runTime)
	if a.Refusal != nil {
		return w.logFailure(c, a, arrived, runTime)
	}
	a.SelfTime = runTime
	return a
}

func (w *Worker) run(ctx context.Context, c pomelo.Call) pomelo.Answer {
	i, f := w.upstream(c.Service)
	if f != nil {
		return pomelo.Refuse(c.ID, f)
	}
	if f := w.filter.Refusal(c); f != nil {
		return pomelo.Refuse(c.ID, f)
	}
	w.metrics.Count("worker.sent", 1)
	a := w.link.Do(ctx, i, c)
	a.ReachedUpstream = true
	if a.Refusal != nil && a.Refusal.Kind == pomelo.KindUpstreamFailed {
		w.detector.BrokeOff(i, c)
	}
	w.filter.RecordAnswer(c, a)
	return a
}

// upstream returns the upstream if it accepts calls. It is checked on arrival and again right before the call is sent, since the upstream may have started draining, or its zone may have been evacuated, while the call waited.
func (w *Worker) upstream(service string) (pomelo.Instance, *pomelo.Fault) {
	if f := w.evacuationRefusal(); f != nil {
		return pomelo.Instance{}, f
	}
	if w.resuming.Load() {
		return pomelo.Instance{}, pomelo.NewFault(pomelo.KindNoUpstream, "this node has not read its own record yet", "send the request to another upstream")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endResume()
	i := w.state.instance
	if !w.state.known || i.Service != service {
		return i, pomelo.NewFault(pomelo.KindNoUpstream, "no upstream of service "+service+" is beside this node", "send the request to another upstream")
	}
	if i.Draining || w.draining {
		return i, drainingFault()
	}
	return i, nil
}

func (w *Worker) register(c pomelo.Call) *pomelo.Fault {
	if _, f := w.upstream(c.Service); f != nil {
		return f
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// The policy may have changed, and a health check may have become due by time.
	w.applyWarmup()
	w.inFlight++
	w.running[c.ID] = &runningCall{call: c}
	return nil
}

// release removes the call from the running calls and returns the calls of its subtree.
func (w *Worker) release(c pomelo.Call) []pomelo.SubtreeCalls {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	r := w.running[c.ID]
	delete(w.running, c.ID)
	return r.subtreeCalls
}

func (w *Worker) refuse(c pomelo.Call, f *pomelo.Fault, arrived pomelo.Millis) pomelo.Answer {
	w.metrics.Count("worker.refused."+string(f.Kind), 1)
	w.log.Info("call_refused", "request", c.ID, "root", c.RootID, "service", c.Service, "kind", f.Kind, "reason", f.Message, "waited_ms", w.clock.Now()-arrived, "left_ms", c.Deadline-w.clock.Now(), "importance", c.Importance, "share", c.FairShareAccount, "retry_after_ms", f.RetryAfter)
	return pomelo.Refuse(c.ID, f)
}

// logSkipped tells why a call may wait until its deadline: the upstream sent a response that it may have written for another call.
func (w *Worker) logSkipped(c pomelo.Call, x pomelo.Exchange) {
	w.log.Info("response_skipped", "request", c.ID, "root", c.RootID, "service", c.Service, "status", x.Status, "connection", x.Connection, "calls", x.Calls)
}

// logRejected tells on which connection the upstream stated that it has not run a call that may run once, as the upstream's own log names it.
func (w *Worker) logRejected(c pomelo.Call, x pomelo.Exchange) {
	if !c.NonIdempotent {
		return
	}
	w.log.Info("call_rejected", "request", c.ID, "root", c.RootID, "service", c.Service, "status", x.Status, "connection", x.Connection, "calls", x.Calls, "unnamed", x.Unnamed)
}

func (w *Worker) logFailure(c pomelo.Call, a pomelo.Answer, arrived, runTime pomelo.Millis) pomelo.Answer {
	f := a.Refusal
	w.metrics.Count("worker.failed."+string(f.Kind), 1)
	w.log.Info("call_failed", "request", c.ID, "root", c.RootID, "service", c.Service, "kind", f.Kind, "reason", f.Message, "ran", f.Ran, "took_ms", runTime, "waited_ms", w.clock.Now()-arrived-runTime)
	return a
}
