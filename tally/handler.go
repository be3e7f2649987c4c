package tally

import (
	"context"
	"net/http"

	"github.com/pomeloworks/pomelo"
)

// handler counts the outcome of each call that it passes to next.
type handler struct {
	tally  *Tally
	config pomelo.Configuration
	next   pomelo.Handler
}

// Wrap returns a handler that passes calls to next and counts their outcomes according to the service's objective.
func (t *Tally) Wrap(config pomelo.Configuration, next pomelo.Handler) pomelo.Handler {
	return &handler{tally: t, config: config, next: next}
}

// Handle implements pomelo.Handler.
func (h *handler) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	start := h.tally.clock.Now()
	a := h.next.Handle(ctx, c)
	h.tally.Record(c.Service, c.Account, h.outcome(c, a, h.tally.clock.Now()-start))
	return a
}

func (h *handler) outcome(c pomelo.Call, a pomelo.Answer, took pomelo.Millis) string {
	o, _ := h.config.Objective(c.Service)
	slow := o.Latency > 0 && took > o.Latency
	switch {
	case a.Refusal != nil && a.Refusal.Kind == pomelo.KindCanceled && slow:
		// A call that its caller cancelled after the latency objective counts as slow.
		return pomelo.OutcomeSlow
	case a.Refusal != nil:
		return string(a.Refusal.Kind)
	case a.Status >= http.StatusInternalServerError:
		return pomelo.OutcomeUpstreamError
	case slow:
		return pomelo.OutcomeSlow
	}
	return pomelo.OutcomeComplete
}
