package load

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

const (
	defaultMaxInFlight = 4096
	defaultTimeout     = pomelo.Millis(2000)
)

// Runner runs one plan; it is not for concurrent use.
type Runner struct {
	plan        pomelo.LoadPlan
	clock       pomelo.Clock
	client      *http.Client
	maxInFlight int
	output      io.Writer
	onComplete  func(rootID string)
	slots       chan struct{}
	stats       []*streamStats
	lag         *hdrhistogram.Histogram
	triggers    triggerCount
}

// WithClock sets the clock for the waits before arrivals and retries.
func WithClock(c pomelo.Clock) func(*Runner) {
	return func(r *Runner) { r.clock = c }
}

// WithMaxInFlight bounds the requests in flight; a request over the limit counts as unsent. The limit is at least 1.
func WithMaxInFlight(n int) func(*Runner) {
	return func(r *Runner) { r.maxInFlight = max(n, 1) }
}

// WithProgress writes a progress line to w every two seconds; by default none is written.
func WithProgress(w io.Writer) func(*Runner) {
	return func(r *Runner) { r.output = w }
}

// WithOnComplete calls f, from any goroutine, with the root id of each request that got a complete answer.
func WithOnComplete(f func(rootID string)) func(*Runner) {
	return func(r *Runner) { r.onComplete = f }
}

// New returns a runner for the plan.
func New(plan pomelo.LoadPlan, opts ...func(*Runner)) *Runner {
	r := &Runner{
		plan:        plan,
		clock:       systemClock{},
		maxInFlight: defaultMaxInFlight,
		onComplete:  func(string) {},
	}
	for _, o := range opts {
		o(r)
	}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConns: r.maxInFlight, MaxIdleConnsPerHost: r.maxInFlight}}
	return r
}

// Run sends the plan's requests and waits for their outcomes; its error is a fault of KindBadRequest, or ctx's error together with the report up to then.
func (r *Runner) Run(ctx context.Context) (pomelo.LoadReport, error) {
	if err := validate(r.plan); err != nil {
		return pomelo.LoadReport{}, err
	}
	r.prepare()
	defer r.client.CloseIdleConnections()
	r.setInitialFaults(ctx)
	started := r.clock.Now()
	progressContext, stop := context.WithCancel(ctx)
	defer stop()
	if r.output != nil {
		go r.progress(progressContext, started)
	}
	var running sync.WaitGroup
	for _, t := range r.plan.Triggers {
		running.Go(func() { r.runTrigger(ctx, started, t) })
	}
	for _, a := range arrivals(r.plan) {
		if r.sleepUntil(ctx, started+pomelo.Millis(a.at)) != nil {
			break
		}
		r.dispatch(ctx, &running, started, a)
	}
	running.Wait()
	return r.report(), errors.Wrap(ctx.Err(), "load")
}

// setInitialFaults sets the faults that apply from the start before any request is sent.
func (r *Runner) setInitialFaults(ctx context.Context) {
	for _, t := range r.plan.Triggers {
		if t.At <= 0 {
			r.setFaults(ctx, t.URLs, t.Fault)
		}
	}
}

func (r *Runner) prepare() {
	r.slots = make(chan struct{}, r.maxInFlight)
	r.triggers = triggerCount{}
	r.lag = newHistogram()
	r.stats = nil
	for _, s := range r.plan.Streams {
		r.stats = append(r.stats, newStreamStats(s))
	}
}

func (r *Runner) sleepUntil(ctx context.Context, at pomelo.Millis) error {
	d := at - r.clock.Now()
	if d <= 0 {
		return ctx.Err()
	}
	return r.clock.Sleep(ctx, d)
}

// dispatch never blocks: a generator at its in-flight limit must not turn the load into a closed loop.
func (r *Runner) dispatch(ctx context.Context, running *sync.WaitGroup, started pomelo.Millis, a arrival) {
	t := r.stats[a.stream]
	t.recordOffered(a)
	observe(r.lag, (r.clock.Now() - started - pomelo.Millis(a.at)).Duration())
	select {
	case r.slots <- struct{}{}:
	default:
		t.recordUnsent(a)
		return
	}
	running.Go(func() {
		defer func() { <-r.slots }()
		o := r.runRequest(ctx, a)
		if o.last.class == classComplete {
			r.onComplete(o.last.rootID)
		}
		t.recordResult(a, float64(r.clock.Now()-started), o)
	})
}

func validate(p pomelo.LoadPlan) error {
	if len(p.Targets) == 0 {
		return pomelo.NewFault(pomelo.KindBadRequest, "the plan has no targets", "list base URLs of nodes in targets")
	}
	if len(p.Streams) == 0 {
		return pomelo.NewFault(pomelo.KindBadRequest, "the plan has no streams", "list at least one stream")
	}
	if p.Duration <= 0 {
		return pomelo.NewFault(pomelo.KindBadRequest, "the plan has no duration", "set duration_ms above 0")
	}
	return nil
}
