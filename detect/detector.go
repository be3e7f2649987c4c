package detect

import (
	"context"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// collectTime is the time, in milliseconds, in which the connections of a crashed process end.
	collectTime = pomelo.Millis(50)
	// maxSuspects bounds the calls recorded for one crash.
	maxSuspects = 1024
)

// Detector collects the calls whose connection to the upstream ended, and reports a crash if the upstream then refuses connections.
type Detector struct {
	clock     pomelo.Clock
	log       pomelo.Logger
	metrics   pomelo.Metrics
	vm        string
	isRefused func(ctx context.Context, address string) bool
	onCrash   func(pomelo.Crash)
	mu        sync.Mutex
	pending   map[start]*pomelo.Crash
}

// start identifies one process of an upstream.
type start struct {
	id        string
	startedAt pomelo.Millis
}

// New returns a detector for the upstream on this VM; isRefused reports whether an address refuses connections.
func New(clock pomelo.Clock, log pomelo.Logger, metrics pomelo.Metrics, vm string, isRefused func(ctx context.Context, address string) bool, opts ...func(*Detector)) *Detector {
	d := &Detector{
		clock:     clock,
		log:       log,
		metrics:   metrics,
		vm:        vm,
		isRefused: isRefused,
		onCrash:   func(pomelo.Crash) {},
		pending:   map[start]*pomelo.Crash{},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// WithOnCrash sets the function that is called after each crash, in a goroutine of its own.
func WithOnCrash(f func(pomelo.Crash)) func(*Detector) {
	return func(d *Detector) { d.onCrash = f }
}

// BrokeOff records a call whose connection to the upstream ended without a complete response.
func (d *Detector) BrokeOff(i pomelo.Instance, c pomelo.Call) {
	f := c.Fingerprint()
	d.log.Info("call_broke_off", "request", c.ID, "root", c.RootID, "upstream", i.ID, "fingerprint", f)
	d.mu.Lock()
	defer d.mu.Unlock()
	s := start{id: i.ID, startedAt: i.StartedAt}
	p, ok := d.pending[s]
	if !ok {
		p = &pomelo.Crash{VM: d.vm, UpstreamID: i.ID, StartedAt: i.StartedAt}
		d.pending[s] = p
		go d.check(s, i.Address)
	}
	if len(p.Suspects) < maxSuspects && !slices.Contains(p.Suspects, f) {
		p.Suspects = append(p.Suspects, f)
	}
}

// check reports a crash if the address refuses connections: an upstream may also break off single calls.
func (d *Detector) check(s start, address string) {
	_ = d.clock.Sleep(context.Background(), collectTime)
	isRefused := d.isRefused(context.Background(), address)
	d.mu.Lock()
	crash := *d.pending[s]
	delete(d.pending, s)
	d.mu.Unlock()
	if !isRefused {
		return
	}
	d.metrics.Count("detect.crashes", 1)
	d.log.Warn("upstream_crashed", "upstream", crash.UpstreamID, "born", crash.StartedAt, "suspects", len(crash.Suspects))
	d.onCrash(crash)
}
