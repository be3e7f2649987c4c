package load

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

const barWidth = 40

// WriteText writes the report as text for people; it returns the error of w.
func (r *Runner) WriteText(w io.Writer, report pomelo.LoadReport) error {
	_, err := io.WriteString(w, text(report))
	return errors.Wrap(err, "write the load report")
}

func text(p pomelo.LoadReport) string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s, control %s, seed %d, %d ms, triggers failed %d\n", orDash(p.Name), orDash(p.Control), p.Seed, p.Duration, p.TriggersFailed)
	writeSummary(&b, p.Total)
	writeImportances(&b, p.Importances)
	writeAccounts(&b, p)
	writeRecoveries(&b, p)
	writeWork(&b, p.Work)
	fmt.Fprintf(&b, "generator's own lag ms p50 %.0f p99 %.0f max %.0f\n", p.GeneratorLag.P50, p.GeneratorLag.P99, p.GeneratorLag.Max)
	writeSeconds(&b, p.Total.Seconds)
	return b.String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func writeSummary(b *strings.Builder, s pomelo.LoadSummary) {
	fmt.Fprintf(b, "%s: offered %d, whole %d (late %d), wrong %d, unsent %d\n", s.Name, s.Offered, s.Complete, s.Late, s.Mismatched, s.Unsent)
	fmt.Fprintf(b, "  refused%s, failed%s\n", formatCounts(s.Refused), formatCounts(s.Failed))
	fmt.Fprintf(b, "  goodput %.1f/s, by worth %.1f/s, %.2f attempts a request\n", s.CompletePerSecond, s.Goodput, s.AttemptsPerRequest)
	l, r := s.Latency, s.RefusalLatency
	fmt.Fprintf(b, "  latency ms p50 %.2f p90 %.2f p99 %.2f max %.2f\n", l.P50, l.P90, l.P99, l.Max)
	fmt.Fprintf(b, "  refusal ms p50 %.2f p99 %.2f max %.2f\n", r.P50, r.P99, r.Max)
}

func writeImportances(b *strings.Builder, importances []pomelo.LoadImportance) {
	b.WriteString("importance offered   whole refused  failed  share\n")
	for _, l := range importances {
		fmt.Fprintf(b, "%10d %7d %7d %7d %7d  %.3f\n", l.Importance, l.Offered, l.Complete, l.Refused, l.Failed, l.CompleteShare)
	}
}

func writeAccounts(b *strings.Builder, p pomelo.LoadReport) {
	b.WriteString("account              offered   whole  share inside_rate  share refused_overload refused_rate\n")
	for _, a := range p.Accounts {
		fmt.Fprintf(
			b, "%-20s %7d %7d  %.3f %11d  %.3f %16d %12d\n",
			orDash(a.Name), a.Offered, a.Complete, a.CompleteShare, a.WithinRate, a.WithinRateCompleteShare, a.WithinRateShed, a.WithinRateLimited,
		)
	}
	if p.WorstAccount != "" {
		fmt.Fprintf(b, "worst account %s: %.3f of its requests whole\n", p.WorstAccount, p.WorstShare)
	}
}

func writeRecoveries(b *strings.Builder, p pomelo.LoadReport) {
	if p.CapacityShare > 0 {
		fmt.Fprintf(b, "bottleneck: %.3f of its capacity went into whole answers\n", p.CapacityShare)
	}
	for _, r := range p.Recoveries {
		fmt.Fprintf(b, "%s from %d to %d ms: goodput %.1f/s before, %.1f/s during", r.Name, r.From, r.To, r.GoodputBefore, r.GoodputDuring)
		fmt.Fprintf(b, "; by worth %.1f, %.1f; %.3f of the capacity then; %s\n", r.WorthBefore, r.WorthDuring, r.CapacityShare, formatRecovery(r.Recovery))
	}
}

func formatRecovery(d pomelo.Millis) string {
	if d < 0 {
		return "not recovered by the end"
	}
	return fmt.Sprintf("recovered after %.2f s", float64(d)/millisPerSecond)
}

func writeWork(b *strings.Builder, k pomelo.LoadWork) {
	if k.Executions == 0 {
		return
	}
	fmt.Fprintf(b, "executions %d, wasted %d (%.3f), repeated %d, duplicates %d, largest tree %d\n", k.Executions, k.Wasted, k.WastedShare, k.Repeated, k.Duplicates, k.LargestTree)
	for _, s := range k.Services {
		fmt.Fprintf(b, "  %s: executions %d, wasted %d, cancelled %d\n", s.Service, s.Executions, s.Wasted, s.Cancelled)
	}
	fmt.Fprintf(b, "keys seen by upstreams %d, processor time %d ms, %.0f us an execution (generator and stand-ins included)\n", k.CallerKeysSeen, k.CPU, k.CPUPerCall)
}

// writeSeconds draws the offered requests of each second as a bar: # complete in time, l late, r refused, . all others.
func writeSeconds(b *strings.Builder, seconds []pomelo.LoadSecond) {
	var highest int64 = 1
	for _, s := range seconds {
		highest = max(highest, s.Offered)
	}
	b.WriteString("second offered whole  late refused failed\n")
	for _, s := range seconds {
		bar := strings.Repeat("#", int((s.Complete-s.Late)*barWidth/highest))
		bar += strings.Repeat("l", int(s.Late*barWidth/highest))
		bar += strings.Repeat("r", int(s.Refused*barWidth/highest))
		bar += strings.Repeat(".", max(int(s.Offered*barWidth/highest)-len(bar), 0))
		fmt.Fprintf(b, "%6d %7d %5d %5d %7d %6d %s\n", s.Second, s.Offered, s.Complete, s.Late, s.Refused, s.Failed, bar)
	}
}

func formatCounts(m map[pomelo.Kind]int64) string {
	if len(m) == 0 {
		return " 0"
	}
	var parts []string
	for k, n := range m {
		parts = append(parts, fmt.Sprintf(" %s=%d", k, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, "")
}
