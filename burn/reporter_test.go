package burn_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/burn"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
)

// objectives is a catalog that lists only objectives.
type objectives struct {
	pomelo.Catalog
	list []pomelo.Objective
}

func (g objectives) Objectives() []pomelo.Objective { return g.list }

func count(account, outcome string, n ...int64) pomelo.OutcomeCount {
	return pomelo.OutcomeCount{Service: "shop", Account: account, Outcome: outcome, PerWindow: n}
}

func report(counts ...pomelo.OutcomeCount) pomelo.BurnService {
	o := pomelo.Objective{Service: "shop", CompleteShare: 0.99, Latency: 300, LatencyShare: 0.9}
	collect := func(context.Context, pomelo.ReportRequest) pomelo.FleetReport {
		return pomelo.FleetReport{Counts: counts, Unresponsive: []string{"c"}}
	}
	r := burn.New(clock.New(clock.WithManual(1)), objectives{list: []pomelo.Objective{o}}, collect).Report(context.Background())
	convey.So(r.Unresponsive, convey.ShouldResemble, []string{"c"})
	convey.So(len(r.Services), convey.ShouldEqual, 1)
	return r.Services[0]
}

func rates(g pomelo.BurnGoal) []float64 {
	var out []float64
	for _, w := range g.Windows {
		out = append(out, w.Rate)
	}
	return out
}

func TestReport(t *testing.T) {
	convey.Convey("The burn rate is the share of bad calls divided by the allowed share, in each window", t, func() {
		s := report(
			count("growers", pomelo.OutcomeComplete, 60, 500, 900), count("labs", pomelo.OutcomeComplete, 20, 200, 90),
			count("labs", "overload", 0, 4, 10), count("growers", pomelo.OutcomeSlow, 20, 296, 0),
		)
		convey.So(rates(s.Complete)[0], convey.ShouldEqual, 0)
		convey.So(rates(s.Complete)[1], convey.ShouldAlmostEqual, 0.4)
		convey.So(rates(s.Complete)[2], convey.ShouldAlmostEqual, 1)
		convey.So(s.Complete.BudgetLeft, convey.ShouldAlmostEqual, 0)
		convey.So(rates(s.Latency)[0], convey.ShouldAlmostEqual, 2)
		convey.So(s.Latency.Windows[0].Calls, convey.ShouldEqual, 100)
		convey.So(s.State, convey.ShouldEqual, pomelo.BurnOK)
	})
	convey.Convey("Refusals over the client account's rate do not count, those within it do", t, func() {
		s := report(count("growers", pomelo.OutcomeComplete, 100, 100, 100), count("growers", string(pomelo.KindRateExceeded), 900, 900, 900))
		convey.So(s.Complete.Windows[0].Calls, convey.ShouldEqual, 100)
		convey.So(s.Complete.Windows[0].Rate, convey.ShouldEqual, 0)
		convey.So(s.WorstAccount, convey.ShouldBeNil)
		for _, k := range []pomelo.Kind{pomelo.KindOverload, pomelo.KindDeadline, pomelo.KindNoUpstream, pomelo.KindPeerLost, pomelo.KindInDoubt, pomelo.KindNotAuthoritative, pomelo.KindDraining} {
			s = report(count("growers", pomelo.OutcomeComplete, 90, 90, 90), count("growers", string(k), 10, 10, 10))
			convey.So(s.Complete.Windows[0].Bad, convey.ShouldEqual, 10)
		}
	})
	convey.Convey("The worst client account is reported with its reasons, even if an account with few calls has a higher burn rate", t, func() {
		s := report(
			count("growers", pomelo.OutcomeComplete, 1000, 1000, 1000), count("growers", "overload", 10, 10, 10),
			count("labs", pomelo.OutcomeComplete, 50, 50, 50), count("labs", "overload", 30, 30, 30),
			count("labs", pomelo.OutcomeSlow, 20, 20, 20), count("tiny", "deadline", 1, 1, 1),
		)
		convey.So(s.WorstAccount, convey.ShouldResemble, &pomelo.BurnAccount{
			Account: "labs", Window: pomelo.BurnShort, Calls: 100, Bad: 50,
			Reasons: []pomelo.BurnReason{{Outcome: "overload", Count: 30}, {Outcome: "slow", Count: 20}},
		})
	})
	convey.Convey("A state requires the burn rate in both a shorter and a longer window", t, func() {
		for _, c := range []struct {
			bad  []int64
			want pomelo.BurnState
		}{
			{[]int64{20, 20, 20}, pomelo.BurnFast},
			{[]int64{20, 1, 1}, pomelo.BurnOK},
			{[]int64{0, 20, 20}, pomelo.BurnSlow},
			{[]int64{0, 0, 20}, pomelo.BurnOK},
			{[]int64{7, 7, 7}, pomelo.BurnSlow},
			{[]int64{1, 1, 1}, pomelo.BurnOK},
		} {
			complete := []int64{100 - c.bad[0], 100 - c.bad[1], 100 - c.bad[2]}
			s := report(count("growers", pomelo.OutcomeComplete, complete...), count("growers", "overload", c.bad...))
			convey.So(s.State, convey.ShouldEqual, c.want)
		}
		convey.So(report().State, convey.ShouldEqual, pomelo.BurnNoData)
	})
}
