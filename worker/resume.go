package worker

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// defaultResumeTime is the time after the start of the process, in milliseconds, for which a resumed upstream is used without a heartbeat.
const defaultResumeTime = pomelo.Millis(2_250)

// anySequence is below the sequence number of any heartbeat.
const anySequence = -1

// WithResumeTime sets the time from now, in milliseconds, for which a resumed upstream is used without a heartbeat.
func WithResumeTime(d pomelo.Millis) func(*Worker) {
	return func(w *Worker) { w.resumeUntil = w.clock.Now() + d }
}

// WithRecord makes the worker use no upstream before EndResume, whatever its heartbeats say.
func WithRecord() func(*Worker) {
	return func(w *Worker) { w.resuming.Store(true) }
}

// EndResume tells that the record of the node's previous process, if there was one, has been passed to Resume.
func (w *Worker) EndResume() {
	w.resuming.Store(false)
}

// Resume restores the upstream that the node's previous process knew; if a heartbeat has arrived, only that the upstream drains or has left. Later heartbeats replace it; without one it is used until the resume time has passed, since the record may lack that it has left.
func (w *Worker) Resume(i pomelo.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.Draining = i.Draining || i.Left
	if w.state.known {
		w.resumeLeaving(i)
		return
	}
	if !i.Draining && w.isResumeOver() {
		w.log.Info("upstream_not_resumed", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "reason", "no heartbeat since the start of the process")
		return
	}
	w.state.resume(i)
	i = w.state.instance
	w.tracker.Resumed(w.clock.Now(), i)
	w.applyWarmup()
	w.log.Info("upstream_resumed", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "slots", i.Slots, "left", i.Left)
	w.limiter.SetCapacity(i.Slots, 0)
	w.onChange(i, !i.Draining)
}

// resumeLeaving takes over from the record that the known upstream drains or has left; mu must be locked.
func (w *Worker) resumeLeaving(i pomelo.Instance) {
	if i.Left {
		w.leave(i)
		return
	}
	if !i.Draining || !w.state.drain(i) {
		return
	}
	i = w.state.instance
	w.log.Info("upstream_changed", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "sequence", i.Sequence, "slots", i.Slots, "leaving", i.Draining, "warmup_ms", i.WarmupLeft)
	w.onChange(i, false)
}

// ResumeWithdrawals restores the deregistrations of upstreams that the node's previous process did not know; it must be called before Resume.
func (w *Worker) ResumeWithdrawals(l []pomelo.Withdrawal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range l {
		w.state.withdrawals.add(x)
	}
	if w.state.known && w.state.withdrawals.include(w.state.instance) {
		w.leave(w.state.instance)
	}
	w.onWithdrawals(slices.Clone(w.state.withdrawals))
}

func (w *Worker) isResumeOver() bool {
	return w.clock.Now() >= w.resumeUntil
}

// endResume stops calls to a resumed upstream that has sent no heartbeat in time; mu must be locked.
func (w *Worker) endResume() {
	if !w.state.unconfirmed || !w.isResumeOver() {
		return
	}
	w.state.unconfirmed = false
	w.state.instance.Draining = true
	w.state.instance.Sequence = anySequence
	i := w.state.instance
	w.log.Warn("upstream_unconfirmed", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "remedy", "send heartbeats to this node, or deregister the upstream")
	w.onChange(i, false)
}
