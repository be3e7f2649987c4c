package demo

import (
	"context"
	"fmt"
	"io"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fleet"
	"github.com/pomeloworks/pomelo/load"
)

const (
	defaultDuration     = pomelo.Millis(6_000)
	accountName         = "growers"
	upstreamsPerService = 3
	minCompleteShare    = 0.99
)

// Demo runs the demonstration.
type Demo struct {
	seed     uint64
	duration pomelo.Millis
}

// New returns a demo with six seconds of load.
func New(opts ...func(*Demo)) *Demo {
	d := &Demo{seed: 1, duration: defaultDuration}
	for _, o := range opts {
		o(d)
	}
	return d
}

// WithDuration sets the duration of the load, in milliseconds.
func WithDuration(m pomelo.Millis) func(*Demo) {
	return func(d *Demo) { d.duration = m }
}

// Run prints progress and the report; it returns a fault of KindInvariantViolated if a check fails.
func (d *Demo) Run(ctx context.Context, w io.Writer) error {
	fmt.Fprintln(w, "starting: a store, 2 services of 3 upstreams each, 6 nodes")
	f := fleet.New(plan())
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(w, "running: %d ms of load through calls three deep\n", d.duration)
	r := load.New(d.load(f))
	report, err := r.Run(ctx)
	if err != nil {
		return err
	}
	stopped := f.Stop(ctx)
	if err := r.WriteText(w, report); err != nil {
		return err
	}
	if stopped != nil {
		return stopped
	}
	return d.checkResult(w, f, report)
}

func (d *Demo) checkResult(w io.Writer, f *fleet.Fleet, report pomelo.LoadReport) error {
	if err := checkInvariants(f, report.Total); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, "all invariants checked in this run held")
	return err
}

func (d *Demo) load(f *fleet.Fleet) pomelo.LoadPlan {
	secret := f.Secret(accountName)
	return pomelo.LoadPlan{
		Seed:     d.seed,
		Duration: d.duration,
		Targets:  f.Targets(),
		Streams: []pomelo.LoadStream{
			{Name: "orders", Account: accountName, Key: secret, Method: "POST", Path: "/orders", Rate: 40, Worth: 5, Importance: 9, Timeout: 2000, BodyBytes: 200},
			{Name: "history", Account: accountName, Key: secret, Method: "GET", Path: "/history", Rate: 120, Worth: 1, Importance: 3, Timeout: 2000},
		},
	}
}
