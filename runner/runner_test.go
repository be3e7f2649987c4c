package runner_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/pomeloworks/pomelo/runner"
	"github.com/smartystreets/goconvey/convey"
)

type members struct{ pomelo.Membership }

func (members) All() []pomelo.Member { return []pomelo.Member{{VM: "a"}, {VM: "b"}} }

// nodes report the positions of rounds[n] to the n-th query, and the last ones from then on.
type nodes struct {
	rounds       [][]pomelo.Report
	unresponsive []string
	queries      int
}

func (n *nodes) collect(_ context.Context, _ pomelo.ReportRequest, vms []string) pomelo.FleetReport {
	var out []pomelo.Report
	for _, r := range n.rounds[min(n.queries, len(n.rounds)-1)] {
		if slices.Contains(vms, r.VM) {
			out = append(out, r)
		}
	}
	n.queries++
	return pomelo.FleetReport{Reports: out, Unresponsive: n.unresponsive}
}

func at(vm string, epoch int64, r pomelo.Revision) pomelo.Report {
	return pomelo.Report{VM: vm, Position: pomelo.Position{Epoch: epoch, Revision: r}}
}

func TestWait(t *testing.T) {
	cases := []struct {
		name  string
		nodes nodes
		want  []string
	}{
		{"all catch up", nodes{rounds: [][]pomelo.Report{{at("a", 0, 1), at("b", 0, 0)}, {at("a", 0, 1), at("b", 0, 5)}}}, nil},
		{"one stays behind and one is unresponsive", nodes{rounds: [][]pomelo.Report{{at("a", 0, 1), at("b", 0, 0)}}, unresponsive: []string{"c"}}, []string{"b", "c"}},
		{"one has not learnt that the store went back to an earlier revision", nodes{rounds: [][]pomelo.Report{{at("a", 1, 1), at("b", 0, 90)}}}, []string{"b"}},
	}
	for _, c := range cases {
		convey.Convey("Run waits until a change is applied: "+c.name, t, func() {
			h := httptest.NewServer(fakekv.New())
			defer h.Close()
			t := clock.New()
			r := runner.New(t, change.New(kvhttp.New(h.URL)), nil, members{}, c.nodes.collect)
			set := pomelo.Command{SetAccount: &pomelo.SetAccount{Name: "A", Rate: 1, Burst: 1}}
			out, err := r.Run(context.Background(), pomelo.CommandRequest{ID: "1", Wait: 250}, set)
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.Revision, convey.ShouldEqual, 1)
			convey.So(out.NotApplied, convey.ShouldResemble, c.want)
			out, err = r.Run(context.Background(), pomelo.CommandRequest{ID: "2"}, pomelo.Command{StopVM: &pomelo.StopVM{VM: "z", At: "now"}})
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.Note, convey.ShouldContainSubstring, "no node")
		})
	}
}
