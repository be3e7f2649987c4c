package burn

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Reporter computes burn reports from the outcome counts of all nodes.
type Reporter struct {
	clock   pomelo.Clock
	catalog pomelo.Catalog
	collect func(context.Context, pomelo.ReportRequest) pomelo.FleetReport
}

// New returns a reporter on the objectives of the catalog; collect queries all nodes and lists the unresponsive ones.
func New(clock pomelo.Clock, catalog pomelo.Catalog, collect func(context.Context, pomelo.ReportRequest) pomelo.FleetReport) *Reporter {
	return &Reporter{clock: clock, catalog: catalog, collect: collect}
}

// Report collects the counts and evaluates every service that has an objective.
func (r *Reporter) Report(ctx context.Context) pomelo.BurnReport {
	g := r.collect(ctx, pomelo.ReportRequest{Windows: windows()})
	out := pomelo.BurnReport{At: r.clock.Now(), Services: []pomelo.BurnService{}, Unresponsive: g.Unresponsive}
	sums := sumByService(g.Counts)
	for _, o := range r.catalog.Objectives() {
		out.Services = append(out.Services, evaluate(o, sums[o.Service]))
	}
	return out
}

// windows are requested from the shortest to the longest.
func windows() []pomelo.Millis {
	return []pomelo.Millis{pomelo.BurnShort, pomelo.BurnMedium, pomelo.BurnLong}
}
