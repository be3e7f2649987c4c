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
		Accounts:       accounts(r.tallies),
		Importances:    levels(r.tallies),
		GeneratorLag:   latency(r.lag),
		TriggersFailed: r.triggers.failed.Load(),
	}
	total := newTally(pomelo.LoadStream{Name: totalName})
	for _, t := range r.tallies {
		total.merge(t)
		p.Streams = append(p.Streams, t.close(r.plan.Duration))
	}
	p.Total = total.close(r.plan.Duration)
	p.WorstAccount, p.WorstShare = worst(p.Accounts)
	r.judge(&p, total.line)
	return p
}

// judge sets what depends on the time line and the plan's capacity.
func (r *Runner) judge(p *pomelo.LoadReport, l timeline) {
	if r.plan.Capacity > 0 {
		used := l.sum(0, float64(r.plan.Duration)).completedCost
		p.CapacityShare = bySecond(used, float64(r.plan.Duration)) / r.plan.Capacity
	}
	for _, s := range spans(r.plan) {
		p.Recoveries = append(p.Recoveries, recovery(l, s, r.plan.Capacity))
	}
}

func (t *tally) merge(o *tally) {
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
	t.line.merge(o.line)
	t.latency.Merge(o.latency)
	t.refusals.Merge(o.refusals)
}

func addCounts(to, from map[pomelo.Kind]int64) {
	for k, n := range from {
		to[k] += n
	}
}

func (t *tally) close(d pomelo.Millis) pomelo.LoadSummary {
	s := t.summary
	if sent := s.Offered - s.Unsent; sent > 0 {
		s.AttemptsPerRequest = float64(s.Attempts) / float64(sent)
	}
	s.CompletePerSecond = bySecond(float64(s.Complete), float64(d))
	s.Goodput = bySecond(s.WorthComplete, float64(d))
	s.Latency = latency(t.latency)
	s.RefusalLatency = latency(t.refusals)
	s.Seconds = t.line.seconds()
	return s
}

func latency(h *hdrhistogram.Histogram) pomelo.LoadLatency {
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
