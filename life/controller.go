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
	pollInterval       = pomelo.Millis(200)
	defaultGracePeriod = pomelo.Millis(1_500)
	// Long enough for calls with the default timeout to finish before a planned stop.
	defaultDrainLead = pomelo.Millis(12_000)
)

// Controller decides when a node drains and stops: before a planned stop, which may be withdrawn until no call is running, or after Terminate.
type Controller struct {
	clock         pomelo.Clock
	drainer       pomelo.Drainer
	log           pomelo.Logger
	plannedStop   func() (pomelo.Stop, bool)
	gracePeriod   pomelo.Millis
	drainLead     pomelo.Millis
	machine       *stateless.StateMachine
	state         string
	stateSince    pomelo.Millis
	done          chan struct{}
	terminate     chan struct{}
	terminateOnce sync.Once
}

// New returns a controller in the serving state; plannedStop returns this VM's planned stop, if any.
func New(clock pomelo.Clock, drainer pomelo.Drainer, plannedStop func() (pomelo.Stop, bool), log pomelo.Logger, opts ...func(*Controller)) *Controller {
	c := &Controller{
		clock:       clock,
		drainer:     drainer,
		plannedStop: plannedStop,
		log:         log,
		gracePeriod: defaultGracePeriod,
		drainLead:   defaultDrainLead,
		state:       stateServing,
		done:        make(chan struct{}),
		terminate:   make(chan struct{}),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithGracePeriod sets how long, in milliseconds, a draining node still accepts new calls.
func WithGracePeriod(d pomelo.Millis) func(*Controller) {
	return func(c *Controller) { c.gracePeriod = d }
}

// WithDrainLead sets how long before a planned stop draining begins, in milliseconds.
func WithDrainLead(d pomelo.Millis) func(*Controller) {
	return func(c *Controller) { c.drainLead = d }
}

// Done returns a channel that is closed once no call is running and the process may exit.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// Terminate begins draining now; it can't be reverted.
func (c *Controller) Terminate() {
	c.terminateOnce.Do(func() { close(c.terminate) })
}

// Run drives the life cycle until the node is stopping or the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.machine = chart.MustLoad("node_life.ini", nodeLife).NewMachine(func(from, to string) { c.onTransition(ctx, from, to) })
	for ctx.Err() == nil && c.state != stateStopping {
		c.step()
		_ = c.clock.Sleep(ctx, pollInterval)
	}
}

func (c *Controller) step() {
	now := c.clock.Now()
	if c.shouldDrain(now) {
		c.fire(eventDue)
	} else {
		c.fire(eventCancel)
	}
	if c.state == stateDraining && now-c.stateSince >= c.gracePeriod {
		c.fire(eventClose)
	}
	if c.state == stateClosed && c.drainer.Running() == 0 {
		c.fire(eventIdle)
	}
}

func (c *Controller) shouldDrain(now pomelo.Millis) bool {
	select {
	case <-c.terminate:
		return true
	default:
	}
	stop, ok := c.plannedStop()
	return ok && !stop.Withdrawn && now >= stop.At-c.drainLead
}

// fire logs an error of the state machine; only an event missing from the chart can cause one, and the chart's check at start excludes that.
func (c *Controller) fire(event string) {
	if err := c.machine.Fire(event); err != nil {
		c.log.Warn("life_cycle_event_failed", "event", event, "error", err.Error())
	}
}

func (c *Controller) onTransition(ctx context.Context, from, to string) {
	c.state = to
	c.stateSince = c.clock.Now()
	c.log.Info("node_"+to, "from", from, "running", c.drainer.Running())
	switch to {
	case stateDraining:
		c.drainer.Drain(ctx)
	case stateServing:
		c.drainer.Resume(ctx)
	case stateClosed:
		c.drainer.RejectNewCalls()
	case stateStopping:
		close(c.done)
	}
}
