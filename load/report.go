package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pomeloworks/pomelo"
)

const (
	microsPerMilli = 1000.0
	totalName      = "total"
)

func (r *Runner) report() pomelo.LoadReport {
	p := pomelo.LoadReport{
		Name:           r.plan.Name,
		Seed:           r.plan.Seed,
		Duration:       r.plan.Duration,
		Accounts:       accounts(r.stats),
		Importances:    importances(r.stats),
		GeneratorLag:   summarizeLatency(r.lag),
		TriggersFailed: r.triggers.failed.Load(),
	}
	total := newStreamStats(pomelo.LoadStream{Name: totalName})
	for _, t := range r.stats {
		total.merge(t)
		p.Streams = append(p.Streams, t.summarize(r.plan.Duration))
	}
	p.Total = total.summarize(r.plan.Duration)
	p.WorstAccount, p.WorstShare = worstAccount(p.Accounts)
	r.evaluate(&p, total.timeline)
	return p
}

// evaluate sets the fields that depend on the timeline and the plan's capacity.
func (r *Runner) evaluate(p *pomelo.LoadReport, l timeline) {
	if r.plan.Capacity > 0 {
		used := l.sum(0, float64(r.plan.Duration)).completedCost
		p.CapacityShare = perSecond(used, float64(r.plan.Duration)) / r.plan.Capacity
	}
	for _, s := range intervals(r.plan) {
		p.Recoveries = append(p.Recoveries, measureRecovery(l, s, r.plan.Capacity))
	}
}

func (t *streamStats) merge(o *streamStats) {
	a, b := &t.summary, o.summary
	a.Offered += b.Offered
	a.Complete += b.Complete
	a.Late += b.Late
	a.Mismatched += b.Mismatched
	a.Unsent += b.Unsent
	a.Attempts += b.Attempts
	a.WorthOffered += b.WorthOffered
	a.WorthComplete += b.WorthComplete
	addCounts(a.Refused, b.Refused)
	addCounts(a.Failed, b.Failed)
	t.timeline.merge(o.timeline)
	t.latency.Merge(o.latency)
	t.refusals.Merge(o.refusals)
}

func addCounts(to, from map[pomelo.Kind]int64) {
	for k, n := range from {
		to[k] += n
	}
}

func (t *streamStats) summarize(d pomelo.Millis) pomelo.LoadSummary {
	s := t.summary
	if sent := s.Offered - s.Unsent; sent > 0 {
		s.AttemptsPerRequest = float64(s.Attempts) / float64(sent)
	}
	s.CompletePerSecond = perSecond(float64(s.Complete), float64(d))
	s.Goodput = perSecond(s.WorthComplete, float64(d))
	s.Latency = summarizeLatency(t.latency)
	s.RefusalLatency = summarizeLatency(t.refusals)
	s.Seconds = t.timeline.seconds()
	return s
}

func summarizeLatency(h *hdrhistogram.Histogram) pomelo.LoadLatency {
	return pomelo.LoadLatency{
		P50: quantile(h, 50),
		P90: quantile(h, 90),
		P99: quantile(h, 99),
		Max: float64(h.Max()) / microsPerMilli,
	}
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / microsPerMilli
}
