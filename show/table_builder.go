package show

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// TableBuilder builds tables from this node's configuration and membership and from the reports of all nodes.
type TableBuilder struct {
	catalog pomelo.Catalog
	members pomelo.Membership
	collect func(context.Context, pomelo.ReportRequest) pomelo.FleetReport
}

// New returns a TableBuilder; collect returns the reports of the nodes and the names of those that did not answer.
func New(catalog pomelo.Catalog, members pomelo.Membership, collect func(context.Context, pomelo.ReportRequest) pomelo.FleetReport) *TableBuilder {
	return &TableBuilder{catalog: catalog, members: members, collect: collect}
}

// Build returns the requested table; the error is KindBadCommand when there is no such table or the time window is invalid.
func (b *TableBuilder) Build(ctx context.Context, s pomelo.Show) (pomelo.CommandResult, error) {
	if s.Services {
		return b.services(ctx, s), nil
	}
	if s.Refusals {
		return b.refusals(ctx, s)
	}
	t := b.table(s.Table)
	if t == nil {
		return pomelo.CommandResult{}, pomelo.NewFault(pomelo.KindBadCommand, "there is no table "+s.Table, "see docs/commands.md for the tables")
	}
	return pomelo.CommandResult{Table: t}, nil
}

func (b *TableBuilder) table(name string) *pomelo.Table {
	switch name {
	case "accounts":
		return b.accounts()
	case "keys":
		return b.keys()
	case "routes":
		return b.routes()
	case "stops":
		return b.stops()
	case "objectives":
		return b.objectives()
	case "nodes":
		return b.nodes()
	}
	return nil
}
