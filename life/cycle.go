package life

import (
	"context"
	_ "embed"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/chart"
	"github.com/qmuntal/stateless"
)

//go:embed node_life.ini
var nodeLife []byte

// Events and states of the chart.
const (
	eventDue      = "due"
	eventCancel   = "cancel"
	eventClose    = "close"
	eventIdle     = "idle"
	stateServing  = "serving"
	stateDraining = "draining"
	stateClosed   = "closed"
	stateStopping = "stopping"
)

// Times in milliseconds.
const (
	poll         = pomelo.Millis(200)
	defaultGrace = pomelo.Millis(1_500)
	// defaultLead lets calls with the default timeout end before a planned stop.
	defaultLead = pomelo.Millis(12_000)
)

// Cycle decides when a node drains and stops: at a planned stop, which may be withdrawn until nothing runs, or when it is told to.
type Cycle struct {
	clock   pomelo.Clock
	drainer pomelo.Drainer
	log     pomelo.Logger
	planned func() (pomelo.Stop, bool)
	grace   pomelo.Millis
	lead    pomelo.Millis
	machine *stateless.StateMachine
	state   string
	since   pomelo.Millis
	ended   chan struct{}
	stop    chan struct{}
	once    sync.Once
}

// New returns a cycle in the state of serving; planned is this VM's planned stop, if any.
func New(clock pomelo.Clock, drainer pomelo.Drainer, planned func() (pomelo.Stop, bool), log pomelo.Logger, opts ...func(*Cycle)) *Cycle {
	c := &Cycle{
		clock:   clock,
		drainer: drainer,
		planned: planned,
		log:     log,
		grace:   defaultGrace,
		lead:    defaultLead,
		state:   stateServing,
		ended:   make(chan struct{}),
		stop:    make(chan struct{}),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithGrace sets how long, in milliseconds, new calls are still taken after the others have been told.
func WithGrace(d pomelo.Millis) func(*Cycle) {
	return func(c *Cycle) { c.grace = d }
}

// WithLead sets how long, in milliseconds, before a planned stop the draining begins.
func WithLead(d pomelo.Millis) func(*Cycle) {
	return func(c *Cycle) { c.lead = d }
}

// Ended is closed once nothing runs any more and the process may end.
func (c *Cycle) Ended() <-chan struct{} {
	return c.ended
}

// Terminate begins the draining now; it can't be taken back.
func (c *Cycle) Terminate() {
	c.once.Do(func() { close(c.stop) })
}

// Run goes through the life cycle until it has ended or the context ends.
func (c *Cycle) Run(ctx context.Context) {
	c.machine = chart.Must("node_life.ini", nodeLife).Machine(func(from, to string) { c.enter(ctx, from, to) })
	for ctx.Err() == nil && c.state != stateStopping {
		c.step()
		_ = c.clock.Sleep(ctx, poll)
	}
}

func (c *Cycle) step() {
	now := c.clock.Now()
	if c.leaves(now) {
		c.fire(eventDue)
	} else {
		c.fire(eventCancel)
	}
	if c.state == stateDraining && now-c.since >= c.grace {
		c.fire(eventClose)
	}
	if c.state == stateClosed && c.drainer.Running() == 0 {
		c.fire(eventIdle)
	}
}

func (c *Cycle) leaves(now pomelo.Millis) bool {
	select {
	case <-c.stop:
		return true
	default:
	}
	s, ok := c.planned()
	return ok && !s.Withdrawn && now >= s.At-c.lead
}

// fire can fail only for an event that the chart lacks, which its check at start rules out.
func (c *Cycle) fire(event string) {
	if err := c.machine.Fire(event); err != nil {
		c.log.Warn("life_cycle_event_failed", "event", event, "error", err.Error())
	}
}

func (c *Cycle) enter(ctx context.Context, from, to string) {
	c.state = to
	c.since = c.clock.Now()
	c.log.Info("node_"+to, "from", from, "running", c.drainer.Running())
	switch to {
	case stateDraining:
		c.drainer.Drain(ctx)
	case stateServing:
		c.drainer.Resume(ctx)
	case stateClosed:
		c.drainer.RejectNewCalls()
	case stateStopping:
		close(c.ended)
	}
}
