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

const defaultWindow = time.Minute

// group is the key by which refusals are counted; fields that the command does not group by are empty.
type group struct {
	account, service, kind string
}

type groupCount struct {
	group
	refused int64
	calls   int64
}

func (b *TableBuilder) refusals(ctx context.Context, s pomelo.Show) (pomelo.CommandResult, error) {
	window := defaultWindow
	if s.Last != "" {
		d, err := time.ParseDuration(s.Last)
		if err != nil {
			return pomelo.CommandResult{}, pomelo.NewFault(pomelo.KindBadCommand, s.Last+" is not a time", "give such as 60s, 5m or 1h")
		}
		window = d
	}
	fleet := b.collect(ctx, pomelo.ReportRequest{Windows: []pomelo.Millis{pomelo.MillisOf(window)}})
	t := &pomelo.Table{Columns: columnsOf(s.By)}
	for _, c := range countRefusals(fleet.Counts, s.By) {
		t.Rows = append(t.Rows, rowOf(c, s.By))
	}
	return pomelo.CommandResult{Table: t, Unresponsive: fleet.Unresponsive}, nil
}

func columnsOf(by string) []string {
	if by != "" {
		return []string{by, "refused", "of_calls"}
	}
	return []string{"account", "service", "kind", "refused", "of_calls"}
}

func rowOf(g groupCount, by string) []string {
	counts := []string{strconv.FormatInt(g.refused, 10), percentage(g.refused, g.calls)}
	switch by {
	case "account":
		return append([]string{orDash(g.account)}, counts...)
	case "service":
		return append([]string{orDash(g.service)}, counts...)
	case "kind":
		return append([]string{g.kind}, counts...)
	}
	return append([]string{orDash(g.account), orDash(g.service), g.kind}, counts...)
}

// countRefusals returns the groups in descending order of refusals; calls counts all calls of the same account and service.
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
		total := g
		total.kind = ""
		out = append(out, groupCount{group: g, refused: n, calls: calls[total]})
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

func orDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

func percentage(n, total int64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", percent*float64(n)/float64(total))
}
