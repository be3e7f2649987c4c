package worker

import "github.com/pomeloworks/pomelo"

// recordResponse takes over what the upstream states about itself in a response; responses of a previous or replaced upstream are ignored.
func (w *Worker) recordResponse(i pomelo.Instance, info pomelo.ResponseInfo) {
	if info.UpstreamReplaced {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if info.Leaving {
		w.leave(i)
	}
	w.recordRate(i, info)
}

// leave stops new calls to the upstream for good: heartbeats from before it said so may arrive later. mu must be locked.
func (w *Worker) leave(i pomelo.Instance) {
	if !w.state.isSameStart(i) || w.state.instance.Left {
		return
	}
	w.state.leave()
	i = w.state.instance
	w.log.Info("upstream_leaving", "upstream", i.ID, "service", i.Service, "born", i.StartedAt, "sequence", i.Sequence)
	w.onChange(i, false)
}

// adopt takes over what another node was told by this node's previous process. A limit counts until the upstream's first response.
func (w *Worker) adopt(n pomelo.UpstreamNotice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.state.instance
	if !w.state.known || !n.IsAbout(i) {
		return
	}
	if !w.responded && !w.rate.Limited && n.Rate.Limited {
		w.setRate(i, n.Rate)
	}
	if n.Left {
		w.leave(i)
	}
	if n.WarmupLeft > 0 {
		w.tracker.Noticed(w.clock.Now(), n.WarmupLeft)
		w.applyWarmup()
	}
}

// notice returns what the upstream has stated; nil before its first response, unless it has left.
func (w *Worker) notice() *pomelo.UpstreamNotice {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.state.instance
	if !w.responded && !i.Left {
		return nil
	}
	return &pomelo.UpstreamNotice{UpstreamID: i.ID, StartedAt: i.StartedAt, Rate: w.rate, Left: i.Left, WarmupLeft: w.warmupLeft()}
}

// recordRate takes over the limit that a response states; mu must be locked.
func (w *Worker) recordRate(i pomelo.Instance, info pomelo.ResponseInfo) {
	if !w.state.isSameStart(i) {
		return
	}
	w.responded = true
	if info.UnreadableRate != "" {
		w.reportUnreadableRate(i, info.UnreadableRate)
		return
	}
	if info.Rate != w.rate {
		w.setRate(i, info.Rate)
	}
}

// setRate applies and logs a change of the limit that the upstream states; mu must be locked.
func (w *Worker) setRate(i pomelo.Instance, r pomelo.RateStatement) {
	previous := w.rate
	w.rate = r
	w.limiter.SetRate(r)
	w.metrics.Gauge("worker.stated_limit", r.PerSecond)
	w.log.Info("upstream_limit", "upstream", i.ID, "limited", r.Limited, "per_second", r.PerSecond, "was_limited", previous.Limited, "was_per_second", previous.PerSecond)
}

// reportUnreadableRate logs each unreadable value once; the limit known before stays in force; mu must be locked.
func (w *Worker) reportUnreadableRate(i pomelo.Instance, value string) {
	if value == w.unreadableRate {
		return
	}
	w.unreadableRate = value
	w.log.Warn("upstream_limit_unreadable", "upstream", i.ID, "value", value, "remedy", "state a number of requests a second, 0 or more")
}
