package bench

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fleet"
	"github.com/pomeloworks/pomelo/load"
)

// stopTimeout bounds the stop of a fleet, which does not affect the report.
const stopTimeout = pomelo.Millis(6_000)

// defaultSettleTime lets a fresh fleet acquire its rates and claims, for which it refuses requests in its first seconds.
const defaultSettleTime = pomelo.Millis(6_000)

// Bench runs one load plan on fleets of one fleet plan, once or several times.
type Bench struct {
	fleet      pomelo.FleetPlan
	plan       pomelo.LoadPlan
	progress   io.Writer
	log        io.Writer
	clock      pomelo.Clock
	settleTime pomelo.Millis
}

// New returns a bench for the two plans.
func New(f pomelo.FleetPlan, p pomelo.LoadPlan, opts ...func(*Bench)) *Bench {
	b := &Bench{
		fleet:      f,
		plan:       p,
		log:        io.Discard,
		clock:      clock.New(),
		settleTime: defaultSettleTime,
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// WithProgress writes progress lines to w during a run.
func WithProgress(w io.Writer) func(*Bench) {
	return func(b *Bench) { b.progress = w }
}

// WithLog sets the writer for the nodes' logs; by default they are discarded.
func WithLog(w io.Writer) func(*Bench) {
	return func(b *Bench) { b.log = w }
}

// WithSettleTime sets how long a fresh fleet is idle before the load starts, in milliseconds.
func WithSettleTime(d pomelo.Millis) func(*Bench) {
	return func(b *Bench) { b.settleTime = d }
}

// Run starts a fresh fleet with the given overload control and without the disabled features, runs the load and returns the report.
func (b *Bench) Run(ctx context.Context, control string, disabled ...string) (pomelo.LoadReport, error) {
	plan := b.fleet
	plan.Limits.Control = control
	plan.Limits.Disabled = disabled
	f := fleet.New(plan, fleet.WithOutput(b.log))
	if err := f.Start(ctx); err != nil {
		return pomelo.LoadReport{}, err
	}
	report, err := b.run(ctx, f)
	b.stop(f)
	report.Control = control
	report.Disabled = disabled
	return report, err
}

// stop stops the fleet; a timeout is only written to the progress output, so that the report is kept.
func (b *Bench) stop(f *fleet.Fleet) {
	limited, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	if err := f.Stop(limited); err != nil && b.progress != nil {
		fmt.Fprintln(b.progress, "the fleet did not stop in time:", err)
	}
}

func (b *Bench) run(ctx context.Context, f *fleet.Fleet) (pomelo.LoadReport, error) {
	if err := b.clock.Sleep(ctx, b.settleTime); err != nil {
		return pomelo.LoadReport{}, errors.Wrap(err, "let the fleet settle")
	}
	w := newWorkStats(b.fleet)
	r := load.New(b.completePlan(f), load.WithOnComplete(w.recordComplete), load.WithProgress(b.progress))
	start := processorTime()
	report, err := r.Run(ctx)
	if err != nil {
		return report, errors.Wrap(err, "run the load plan")
	}
	report.Work = w.report(f.Upstreams())
	report.Work.CPU = pomelo.MillisOf(processorTime() - start)
	if n := report.Work.Executions; n > 0 {
		report.Work.CPUPerCall = float64((processorTime() - start).Microseconds()) / float64(n)
	}
	return report, nil
}

// completePlan fills in the fields that are known only once the fleet runs: addresses and keys.
func (b *Bench) completePlan(f *fleet.Fleet) pomelo.LoadPlan {
	p := b.plan
	p.Targets = f.Targets()
	p.Accounts = b.fleet.Accounts
	p.ClientDelay = b.fleet.ClientDelay
	p.Streams = nil
	for _, s := range b.plan.Streams {
		s.Key = f.Secret(s.Account)
		p.Streams = append(p.Streams, s)
	}
	p.Triggers = nil
	for _, t := range b.plan.Triggers {
		t.URLs = f.UpstreamURLs(t.Service, t.VM)
		p.Triggers = append(p.Triggers, t)
	}
	return p
}

// rootIDs is the set of the root ids of the requests that got a complete answer.
type rootIDs struct {
	mutex sync.Mutex
	ids   map[string]bool
}

func (r *rootIDs) add(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ids[id] = true
}
