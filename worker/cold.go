package worker

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/guard"
)

const (
	// healthTimeout is the time, in milliseconds, that a health check may take; it takes about 6 ms at a warm upstream.
	healthTimeout = pomelo.Millis(1_000)
	// warmupLogStep is the change of a warm-up's end, in milliseconds, from which it is logged again: each heartbeat moves it by its own delay.
	warmupLogStep = pomelo.Millis(500)
)

// WithServices sets the function that returns what the policy says about a service; the default says nothing.
func WithServices(service func(name string) (pomelo.TrafficService, bool)) func(*Worker) {
	return func(w *Worker) { w.service = service }
}

// ZoneRestored counts the upstream as cold and has its health checked: an evacuation of its zone has ended, in which it got no calls.
func (w *Worker) ZoneRestored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.state.known {
		return
	}
	w.tracker.Restored(w.clock.Now())
	w.applyWarmup()
}

// RecordCrash counts the upstream as cold from its next start on: its address refuses connections.
func (w *Worker) RecordCrash(x pomelo.Crash) {
	w.recordRefused(pomelo.Instance{ID: x.UpstreamID, StartedAt: x.StartedAt})
}

// WarmupLeft returns the milliseconds for which the upstream still counts as cold, or 0.
func (w *Worker) WarmupLeft() pomelo.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warmupLeft()
}

// warmupLeft is WarmupLeft; mu must be locked.
func (w *Worker) warmupLeft() pomelo.Millis {
	now := w.clock.Now()
	return max(0, w.tracker.Warmup(now).Until-now)
}

// recordRefused records that the upstream's address has refused a connection.
func (w *Worker) recordRefused(i pomelo.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Refused(w.clock.Now(), i.ID, i.StartedAt)
	w.applyWarmup()
}

// recordRun records a call that ran to its end or its deadline.
func (w *Worker) recordRun(c pomelo.Call, a pomelo.Answer, runTime pomelo.Millis) {
	if a.Refusal != nil && a.Refusal.Kind != pomelo.KindDeadline || !a.ReachedUpstream {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.RunEnded(w.clock.Now(), c.RouteName, runTime)
	w.applyWarmup()
}

// applyWarmup limits the starts by what is known of the upstream's warm-up, and sends a health check if one is due; mu must be locked.
func (w *Worker) applyWarmup() {
	now := w.clock.Now()
	s, _ := w.service(w.state.instance.Service)
	w.tracker.SetService(s)
	if u := w.tracker.Warmup(now); u != w.warmup {
		w.setWarmup(u)
	}
	if w.tracker.TryCheck(now) {
		w.metrics.Count("worker.health_checks", 1)
		go w.checkHealth(w.state.instance, s.HealthPath)
	}
}

// setWarmup applies and logs a change of the warm-up; mu must be locked.
func (w *Worker) setWarmup(u pomelo.Warmup) {
	previous, previousSource := w.warmup, w.warmupSource
	w.warmup, w.warmupSource = u, w.tracker.Source()
	recentStarts := w.limiter.RecentStarts()
	w.limiter.SetWarmup(u)
	i := w.state.instance
	if u.PerSecond <= 0 {
		w.log.Info("upstream_warm", "upstream", i.ID, "service", i.Service, "recent_starts", recentStarts)
		return
	}
	moved := u.Until - previous.Until
	if u.PerSecond == previous.PerSecond && w.warmupSource == previousSource && max(moved, -moved) < warmupLogStep {
		return
	}
	w.log.Info("upstream_cold", "upstream", i.ID, "service", i.Service, "until_ms", u.Until, "per_second", u.PerSecond, "source", w.warmupSource, "recent_starts", recentStarts)
}

// checkHealth asks the upstream how long it is cold.
func (w *Worker) checkHealth(i pomelo.Instance, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout.Duration())
	defer cancel()
	var info pomelo.ResponseInfo
	var err error = guard.Fault()
	w.guard.Run("health_check", i.ID, func() { info, err = w.link.CheckHealth(ctx, i, path) })
	if err != nil {
		w.log.Info("health_check_failed", "upstream", i.ID, "error", err.Error())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.HealthChecked(w.clock.Now(), info.WarmupLeft, err == nil)
	w.applyWarmup()
}
