package show

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pomeloworks/pomelo"
)

const (
	servicesWindow = pomelo.Millis(60_000)
	// maxShownReasons is the number of reasons that a row lists in full.
	maxShownReasons = 4
	noUpstream      = "no node serves it"
)

// serviceSummary is one row of the services table.
type serviceSummary struct {
	name           string
	nodes          int
	calls          int64
	complete       int64
	failed         int64
	refused        int64
	unhealthySince pomelo.Millis
	reasons        []string
}

// serviceSummaries maps service names to their summaries.
type serviceSummaries map[string]*serviceSummary

func (b *TableBuilder) services(ctx context.Context, s pomelo.Show) pomelo.CommandResult {
	fleet := b.collect(ctx, pomelo.ReportRequest{Windows: []pomelo.Millis{servicesWindow}})
	summaries := serviceSummaries{}
	summaries.addMembers(b.members.All(), fleet.Unresponsive)
	summaries.addCounts(fleet.Counts)
	for _, r := range fleet.Reports {
		summaries.addHealth(r)
	}
	summaries.addRoutes(b.catalog.Routes())
	t := &pomelo.Table{Columns: []string{"service", "nodes", "calls_60s", "good", "refused", "failed", "struggling_since", "why"}}
	for _, e := range summaries.sorted() {
		if s.Struggling && len(e.reasons) == 0 {
			continue
		}
		t.Rows = append(t.Rows, e.row())
	}
	return pomelo.CommandResult{Table: t, Unresponsive: fleet.Unresponsive}
}

func (s serviceSummaries) summaryOf(name string) *serviceSummary {
	e, ok := s[name]
	if !ok {
		e = &serviceSummary{name: name}
		s[name] = e
	}
	return e
}

func (s serviceSummaries) addMembers(members []pomelo.Member, unresponsive []string) {
	for _, m := range members {
		if m.Service == "" {
			continue
		}
		e := s.summaryOf(m.Service)
		e.nodes++
		if slices.Contains(unresponsive, m.VM) {
			e.reasons = append(e.reasons, m.VM+": node does not answer")
		}
	}
}

func (s serviceSummaries) addCounts(counts []pomelo.OutcomeCount) {
	for _, c := range counts {
		if c.Service == "" {
			continue
		}
		e := s.summaryOf(c.Service)
		e.calls += c.PerWindow[0]
		switch {
		case c.Outcome == pomelo.OutcomeUpstreamError:
			e.failed += c.PerWindow[0]
		case pomelo.IsComplete(c.Outcome):
			e.complete += c.PerWindow[0]
		default:
			e.refused += c.PerWindow[0]
		}
	}
}

func (s serviceSummaries) addHealth(r pomelo.Report) {
	if r.Health.Service == "" || len(r.Health.Issues) == 0 {
		return
	}
	e := s.summaryOf(r.Health.Service)
	if e.unhealthySince == 0 || r.Health.UnhealthySince < e.unhealthySince {
		e.unhealthySince = r.Health.UnhealthySince
	}
	for _, issue := range r.Health.Issues {
		e.reasons = append(e.reasons, fmt.Sprintf("%s: %s (%s)", r.VM, issue.Kind, issue.Detail))
	}
}

// addRoutes adds the services that have a route but no node.
func (s serviceSummaries) addRoutes(routes []pomelo.Route) {
	for _, r := range routes {
		e := s.summaryOf(r.Service)
		if e.nodes == 0 && !slices.Contains(e.reasons, noUpstream) {
			e.reasons = append(e.reasons, noUpstream)
		}
	}
}

func (s serviceSummaries) sorted() []*serviceSummary {
	var out []*serviceSummary
	for _, e := range s {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *serviceSummary) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (e *serviceSummary) row() []string {
	since := "-"
	if e.unhealthySince != 0 {
		since = formatTime(e.unhealthySince)
	}
	return []string{
		e.name, strconv.Itoa(e.nodes), strconv.FormatInt(e.calls, 10), percentage(e.complete, e.calls), percentage(e.refused, e.calls), percentage(e.failed, e.calls),
		since, e.reasonsColumn(),
	}
}

func (e *serviceSummary) reasonsColumn() string {
	if len(e.reasons) == 0 {
		return "-"
	}
	shown := e.reasons[:min(len(e.reasons), maxShownReasons)]
	text := strings.Join(shown, "; ")
	if more := len(e.reasons) - len(shown); more > 0 {
		text += fmt.Sprintf("; and %d more", more)
	}
	return text
}
