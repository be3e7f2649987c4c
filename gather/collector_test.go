package gather_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/gather"
	"github.com/smartystreets/goconvey/convey"
)

type members struct{ pomelo.Membership }

func (members) Self() pomelo.Member { return pomelo.Member{VM: "a"} }

func (members) All() []pomelo.Member {
	return []pomelo.Member{{VM: "a"}, {VM: "d"}, {VM: "c"}, {VM: "b"}}
}

// peers returns reports except for c, whose connection is lost, and d, which is unresponsive until the timeout.
type peers struct{}

func (peers) Request(ctx context.Context, m pomelo.Member, _ pomelo.MessageKind, _, reply any) error {
	switch m.VM {
	case "c":
		return pomelo.NewFault(pomelo.KindPeerLost, "lost", "none")
	case "d":
		<-ctx.Done()
		return ctx.Err()
	}
	*reply.(*pomelo.Report) = pomelo.Report{Position: pomelo.Position{Revision: 2}, Counts: counts(3)}
	return nil
}

func TestCollect(t *testing.T) {
	convey.Convey("Reports come from this node and its peers, and unresponsive nodes are listed", t, func() {
		own := func(pomelo.ReportRequest) pomelo.Report {
			return pomelo.Report{VM: "a", Position: pomelo.Position{Revision: 1}, Counts: counts(4)}
		}
		c := gather.New(members{}, peers{}, own, gather.WithTimeout(50))
		g := c.Collect(context.Background(), pomelo.ReportRequest{})
		convey.So(g, convey.ShouldResemble, pomelo.FleetReport{
			Reports:      []pomelo.Report{{VM: "a", Position: pomelo.Position{Revision: 1}}, {VM: "b", Position: pomelo.Position{Revision: 2}}},
			Counts:       counts(7),
			Unresponsive: []string{"c", "d"},
		})
		g = c.CollectFrom(context.Background(), pomelo.ReportRequest{}, []string{"b", "c", "gone"})
		convey.So(g.Unresponsive, convey.ShouldResemble, []string{"c", "gone"})
		convey.So(len(g.Reports), convey.ShouldEqual, 1)
	})
}

func counts(n int64) []pomelo.OutcomeCount {
	return []pomelo.OutcomeCount{{Service: "shop", Account: "growers", Outcome: "whole", PerWindow: []int64{n, 2 * n}}}
}
