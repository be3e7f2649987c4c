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
	// shownReasons bounds how many nodes' reasons a row holds.
	shownReasons = 4
	noUpstream   = "no node serves it"
)

// service is what is known of one service.
type service struct {
	name    string
	nodes   int
	calls   int64
	good    int64
	failed  int64
	refused int64
	since   pomelo.Millis
	why     []string
}

// picture is of all services by name.
type picture map[string]*service

func (a *Answerer) services(ctx context.Context, s pomelo.Show) pomelo.CommandResult {
	g := a.collect(ctx, pomelo.ReportRequest{Windows: []pomelo.Millis{servicesWindow}})
	p := picture{}
	p.addMembers(a.members.All(), g.Unresponsive)
	p.addCounts(g.Counts)
	for _, r := range g.Reports {
		p.addStrain(r)
	}
	p.addRoutes(a.catalog.Routes())
	t := &pomelo.Table{Columns: []string{"service", "nodes", "calls_60s", "good", "refused", "failed", "struggling_since", "why"}}
	for _, e := range p.sorted() {
		if s.Struggling && len(e.why) == 0 {
			continue
		}
		t.Rows = append(t.Rows, e.row())
	}
	return pomelo.CommandResult{Table: t, Unresponsive: g.Unresponsive}
}

func (p picture) at(name string) *service {
	e, ok := p[name]
	if !ok {
		e = &service{name: name}
		p[name] = e
	}
	return e
}

func (p picture) addMembers(members []pomelo.Member, silent []string) {
	for _, m := range members {
		if m.Service == "" {
			continue
		}
		e := p.at(m.Service)
		e.nodes++
		if slices.Contains(silent, m.VM) {
			e.why = append(e.why, m.VM+": node does not answer")
		}
	}
}

func (p picture) addCounts(counts []pomelo.OutcomeCount) {
	for _, c := range counts {
		if c.Service == "" {
			continue
		}
		e := p.at(c.Service)
		e.calls += c.PerWindow[0]
		switch {
		case c.Outcome == pomelo.OutcomeUpstreamError:
			e.failed += c.PerWindow[0]
		case pomelo.IsComplete(c.Outcome):
			e.good += c.PerWindow[0]
		default:
			e.refused += c.PerWindow[0]
		}
	}
}

func (p picture) addStrain(r pomelo.Report) {
	if r.Health.Service == "" || len(r.Health.Issues) == 0 {
		return
	}
	e := p.at(r.Health.Service)
	if e.since == 0 || r.Health.UnhealthySince < e.since {
		e.since = r.Health.UnhealthySince
	}
	for _, x := range r.Health.Issues {
		e.why = append(e.why, fmt.Sprintf("%s: %s (%s)", r.VM, x.Kind, x.Detail))
	}
}

// addRoutes finds the services that routes lead to and no node serves.
func (p picture) addRoutes(routes []pomelo.Route) {
	for _, r := range routes {
		e := p.at(r.Service)
		if e.nodes == 0 && !slices.Contains(e.why, noUpstream) {
			e.why = append(e.why, noUpstream)
		}
	}
}

func (p picture) sorted() []*service {
	var out []*service
	for _, e := range p {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (e *service) row() []string {
	since := "-"
	if e.since != 0 {
		since = instant(e.since)
	}
	return []string{
		e.name, strconv.Itoa(e.nodes), strconv.FormatInt(e.calls, 10), share(e.good, e.calls), share(e.refused, e.calls), share(e.failed, e.calls),
		since, e.reasons(),
	}
}

func (e *service) reasons() string {
	if len(e.why) == 0 {
		return "-"
	}
	shown := e.why[:min(len(e.why), shownReasons)]
	text := strings.Join(shown, "; ")
	if more := len(e.why) - len(shown); more > 0 {
		text += fmt.Sprintf("; and %d more", more)
	}
	return text
}
