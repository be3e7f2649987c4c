package show

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Answerer makes tables of what this node knows and what the others report.
type Answerer struct {
	catalog pomelo.Catalog
	members pomelo.Membership
	collect func(context.Context, pomelo.ReportRequest) pomelo.FleetReport
}

// New returns an answerer; collect gathers the nodes' reports and names the nodes that gave none.
func New(catalog pomelo.Catalog, members pomelo.Membership, collect func(context.Context, pomelo.ReportRequest) pomelo.FleetReport) *Answerer {
	return &Answerer{catalog: catalog, members: members, collect: collect}
}

// Answer makes the table that was asked for, or KindBadCommand.
func (a *Answerer) Answer(ctx context.Context, s pomelo.Show) (pomelo.CommandResult, error) {
	if s.Services {
		return a.services(ctx, s), nil
	}
	if s.Refusals {
		return a.refusals(ctx, s)
	}
	t := a.table(s.Table)
	if t == nil {
		return pomelo.CommandResult{}, pomelo.NewFault(pomelo.KindBadCommand, "there is no table "+s.Table, "see docs/commands.md for the tables")
	}
	return pomelo.CommandResult{Table: t}, nil
}

func (a *Answerer) table(name string) *pomelo.Table {
	switch name {
	case "accounts":
		return a.accounts()
	case "keys":
		return a.keys()
	case "routes":
		return a.routes()
	case "stops":
		return a.stops()
	case "objectives":
		return a.objectives()
	case "nodes":
		return a.nodes()
	}
	return nil
}
