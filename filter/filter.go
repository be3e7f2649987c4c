package filter

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/block"
)

// Filter refuses blocked calls, and clears the content of answered ones.
type Filter struct {
	clock   pomelo.Clock
	log     pomelo.Logger
	metrics pomelo.Metrics
	list    *block.List
}

// New returns a filter that refuses nothing before a crash was added.
func New(clock pomelo.Clock, log pomelo.Logger, metrics pomelo.Metrics, opts ...func(*Filter)) *Filter {
	f := &Filter{clock: clock, log: log, metrics: metrics, list: block.New()}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Add holds a crash against its suspects.
func (f *Filter) Add(c pomelo.Crash) {
	if f.list.Add(f.clock.Now(), c) {
		f.log.Info("crash_known", "member", c.VM, "upstream", c.UpstreamID, "born", c.StartedAt, "suspects", len(c.Suspects))
	}
}

// Refusal returns the refusal of a blocked call, or nil.
func (f *Filter) Refusal(c pomelo.Call) *pomelo.Fault {
	now := f.clock.Now()
	if !f.list.HasSuspects(now) {
		return nil
	}
	fingerprint := c.Fingerprint()
	blockedFor := f.list.BlockedFor(now, fingerprint)
	if blockedFor == 0 {
		return nil
	}
	f.metrics.Count("filter.blocked", 1)
	f.log.Info("call_blocked", "request", c.ID, "root", c.RootID, "service", c.Service, "fingerprint", fingerprint, "blocked_ms", blockedFor)
	fault := pomelo.NewFault(pomelo.KindBlocked, "upstreams keep crashing under requests of this content", "change the request, or have the service repaired; look for upstream_crashed in the nodes' logs")
	fault.RetryAfter = blockedFor
	return fault
}

// RecordAnswer clears the content of a call that an upstream has answered completely.
func (f *Filter) RecordAnswer(c pomelo.Call, a pomelo.Answer) {
	if a.Refusal == nil && f.list.HasSuspects(f.clock.Now()) {
		f.list.RecordAnswer(c.Fingerprint())
	}
}

// Handler returns a handler that passes calls to next unless they are blocked.
func (f *Filter) Handler(next pomelo.Handler) pomelo.Handler {
	return handler{filter: f, next: next}
}

type handler struct {
	filter *Filter
	next   pomelo.Handler
}

// Handle refuses the call if it is blocked, and passes it on otherwise.
func (h handler) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if fault := h.filter.Refusal(c); fault != nil {
		a := pomelo.Refuse(c.ID, fault)
		a.RetriesLeft = c.RetriesLeft
		return a
	}
	a := h.next.Handle(ctx, c)
	h.filter.RecordAnswer(c, a)
	return a
}
