package show

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/pomeloworks/pomelo"
)

const defaultLast = time.Minute

// group is what refusals are counted by; a field that is not asked for is empty.
type group struct {
	account, service, kind string
}

type groupCount struct {
	group
	refused int64
	calls   int64
}

func (a *Answerer) refusals(ctx context.Context, s pomelo.Show) (pomelo.CommandResult, error) {
	window := defaultLast
	if s.Last != "" {
		d, err := time.ParseDuration(s.Last)
		if err != nil {
			return pomelo.CommandResult{}, pomelo.NewFault(pomelo.KindBadCommand, s.Last+" is not a time", "give such as 60s, 5m or 1h")
		}
		window = d
	}
	g := a.collect(ctx, pomelo.ReportRequest{Windows: []pomelo.Millis{pomelo.MillisOf(window)}})
	t := &pomelo.Table{Columns: columnsOf(s.By)}
	for _, c := range countRefusals(g.Counts, s.By) {
		t.Rows = append(t.Rows, rowOf(c, s.By))
	}
	return pomelo.CommandResult{Table: t, Unresponsive: g.Unresponsive}, nil
}

func columnsOf(by string) []string {
	if by != "" {
		return []string{by, "refused", "of_calls"}
	}
	return []string{"account", "service", "kind", "refused", "of_calls"}
}

func rowOf(g groupCount, by string) []string {
	counts := []string{strconv.FormatInt(g.refused, 10), share(g.refused, g.calls)}
	switch by {
	case "account":
		return append([]string{known(g.account)}, counts...)
	case "service":
		return append([]string{known(g.service)}, counts...)
	case "kind":
		return append([]string{g.kind}, counts...)
	}
	return append([]string{known(g.account), known(g.service), g.kind}, counts...)
}

// countRefusals gives the groups with the most refusals first; calls are all calls of the same account and service.
func countRefusals(counts []pomelo.OutcomeCount, by string) []groupCount {
	refused := map[group]int64{}
	calls := map[group]int64{}
	for _, c := range counts {
		g := groupOf(c, by)
		if !pomelo.IsComplete(c.Outcome) {
			refused[g] += c.PerWindow[0]
		}
		g.kind = ""
		calls[g] += c.PerWindow[0]
	}
	var out []groupCount
	for g, n := range refused {
		if n == 0 {
			continue
		}
		all := g
		all.kind = ""
		out = append(out, groupCount{group: g, refused: n, calls: calls[all]})
	}
	slices.SortFunc(out, func(a, b groupCount) int {
		return cmp.Or(cmp.Compare(b.refused, a.refused), cmp.Compare(a.account, b.account), cmp.Compare(a.service, b.service), cmp.Compare(a.kind, b.kind))
	})
	return out
}

func groupOf(c pomelo.OutcomeCount, by string) group {
	switch by {
	case "account":
		return group{account: c.Account}
	case "service":
		return group{service: c.Service}
	case "kind":
		return group{kind: c.Outcome}
	}
	return group{account: c.Account, service: c.Service, kind: c.Outcome}
}

func known(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

func share(part, all int64) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", percent*float64(part)/float64(all))
}
