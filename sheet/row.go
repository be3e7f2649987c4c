package sheet

import (
	"fmt"

	"github.com/pomeloworks/pomelo"
)

// rows lists the measures of the reports; all runs are of the same plan, so the first report has the recoveries of all.
func rows(reports []pomelo.LoadReport) []row {
	all := goodputRows()
	for i := range reports[0].Recoveries {
		all = append(all, recoveryRows(i, reports[0].Recoveries[i].Name)...)
	}
	all = append(all, fairnessRows()...)
	return append(all, costRows()...)
}

func always(f func(p pomelo.LoadReport) float64) func(p pomelo.LoadReport) (float64, bool) {
	return func(p pomelo.LoadReport) (float64, bool) { return f(p), true }
}

func goodputRows() []row {
	return []row{
		{"offered requests", always(func(p pomelo.LoadReport) float64 { return float64(p.Total.Offered) })},
		{"whole answers", always(func(p pomelo.LoadReport) float64 { return float64(p.Total.Complete) })},
		{"late of them", always(func(p pomelo.LoadReport) float64 { return float64(p.Total.Late) })},
		{"goodput /s", always(func(p pomelo.LoadReport) float64 { return p.Total.CompletePerSecond })},
		{"goodput by worth /s", always(func(p pomelo.LoadReport) float64 { return p.Total.Goodput })},
		{"share of worth", always(worthShare)},
		{"share of capacity", func(p pomelo.LoadReport) (float64, bool) { return p.CapacityShare, p.CapacityShare > 0 }},
		{"wrong answers", always(func(p pomelo.LoadReport) float64 { return float64(p.Total.Mismatched) })},
	}
}

func worthShare(p pomelo.LoadReport) float64 {
	if p.Total.WorthOffered == 0 {
		return 0
	}
	return p.Total.WorthComplete / p.Total.WorthOffered
}

func recoveryRows(i int, name string) []row {
	field := func(f func(r pomelo.LoadRecovery) float64) func(p pomelo.LoadReport) (float64, bool) {
		return func(p pomelo.LoadReport) (float64, bool) {
			if i >= len(p.Recoveries) {
				return 0, false
			}
			return f(p.Recoveries[i]), true
		}
	}
	return []row{
		{name + ": goodput before /s", field(func(r pomelo.LoadRecovery) float64 { return r.GoodputBefore })},
		{name + ": goodput during /s", field(func(r pomelo.LoadRecovery) float64 { return r.GoodputDuring })},
		{name + ": worth before /s", field(func(r pomelo.LoadRecovery) float64 { return r.WorthBefore })},
		{name + ": worth during /s", field(func(r pomelo.LoadRecovery) float64 { return r.WorthDuring })},
		{name + ": share of capacity", field(func(r pomelo.LoadRecovery) float64 { return r.CapacityShare })},
		{name + ": recovery s (-: not by the end)", func(p pomelo.LoadReport) (float64, bool) {
			if i >= len(p.Recoveries) || p.Recoveries[i].Recovery < 0 {
				return 0, false
			}
			return float64(p.Recoveries[i].Recovery) / millisPerSecond, true
		}},
	}
}

func fairnessRows() []row {
	return []row{
		{"worst account's share inside its rate", always(func(p pomelo.LoadReport) float64 { return p.WorstShare })},
		{"refused for overload inside rate", always(func(p pomelo.LoadReport) float64 { return withinRate(p).Shed })},
		{"refused by rate inside rate", always(func(p pomelo.LoadReport) float64 { return withinRate(p).RateLimited })},
		{fmt.Sprintf("share whole, importance %d", reportedImportance), importantShare},
	}
}

// withinRateTotals are the refusals of all accounts for requests within their rates.
type withinRateTotals struct {
	Shed        float64
	RateLimited float64
}

func withinRate(p pomelo.LoadReport) withinRateTotals {
	var s withinRateTotals
	for _, a := range p.Accounts {
		s.Shed += float64(a.WithinRateShed)
		s.RateLimited += float64(a.WithinRateLimited)
	}
	return s
}

func importantShare(p pomelo.LoadReport) (float64, bool) {
	for _, l := range p.Importances {
		if l.Importance == reportedImportance {
			return l.CompleteShare, true
		}
	}
	return 0, false
}

func costRows() []row {
	work := func(f func(k pomelo.LoadWork) float64) func(p pomelo.LoadReport) (float64, bool) {
		return func(p pomelo.LoadReport) (float64, bool) { return f(p.Work), p.Work.Executions > 0 }
	}
	return []row{
		{"attempts a request", always(func(p pomelo.LoadReport) float64 { return p.Total.AttemptsPerRequest })},
		{"executions", work(func(k pomelo.LoadWork) float64 { return float64(k.Executions) })},
		{"wasted share of executions", work(func(k pomelo.LoadWork) float64 { return k.WastedShare })},
		{"largest tree, executions", work(func(k pomelo.LoadWork) float64 { return float64(k.LargestTree) })},
		{"duplicates, non-idempotent", work(func(k pomelo.LoadWork) float64 { return float64(k.Duplicates) })},
		{"latency p50 ms", always(func(p pomelo.LoadReport) float64 { return p.Total.Latency.P50 })},
		{"latency p99 ms", always(func(p pomelo.LoadReport) float64 { return p.Total.Latency.P99 })},
		{"refusal p50 ms", always(func(p pomelo.LoadReport) float64 { return p.Total.RefusalLatency.P50 })},
		{"refusal p99 ms", always(func(p pomelo.LoadReport) float64 { return p.Total.RefusalLatency.P99 })},
		{"generator lag p99 ms", always(func(p pomelo.LoadReport) float64 { return p.GeneratorLag.P99 })},
		{"processor us an execution", work(func(k pomelo.LoadWork) float64 { return k.CPUPerCall })},
	}
}
