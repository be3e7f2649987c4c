package bench_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bench"
	"github.com/smartystreets/goconvey/convey"
)

// testPlans returns plans for a shop that calls sensors, whose responses are truncated from the start; the shop serves /prices without a sub-call.
func testPlans() (pomelo.FleetPlan, pomelo.LoadPlan) {
	sub := []pomelo.FakeSubCall{{Service: "sensors", Method: "GET", Path: "/readings", Count: 1}}
	routes := []pomelo.FakeRoute{{Path: "/history", ServiceTime: 1, SubCalls: sub}, {Path: "/prices", ServiceTime: 1}}
	zones := []string{"a"}
	f := pomelo.FleetPlan{
		Services: []pomelo.FleetService{
			{Upstream: pomelo.FakeUpstream{Service: "shop", Slots: 20, Connections: 200, Routes: routes}, Count: 1, Zones: zones},
			{Upstream: pomelo.FakeUpstream{Service: "sensors", Slots: 20, Connections: 200, ServiceTime: 1}, Count: 1, Zones: zones},
		},
		Accounts: []pomelo.ClientAccount{{Name: "growers", Rate: 1000, Burst: 1000}},
		Routes: []pomelo.Route{
			{Name: "GET /history", Service: "shop", Importance: 3, Worth: 1, Timeout: 20_000},
			{Name: "GET /prices", Service: "shop", Importance: 3, Worth: 1, Timeout: 20_000},
		},
		Limits: pomelo.DefaultLimits(),
	}
	surge := []pomelo.LoadSurge{{From: 300, To: 700, Factor: 2}}
	p := pomelo.LoadPlan{
		Seed:     3,
		Duration: 1000,
		Capacity: 1000,
		Streams: []pomelo.LoadStream{
			{Name: "history", Account: "growers", Method: "GET", Path: "/history", Rate: 100, Worth: 1, Timeout: 20_000, BottleneckCalls: 1},
			{Name: "prices", Account: "growers", Method: "GET", Path: "/prices", Rate: 50, Worth: 1, Timeout: 20_000, Surges: surge},
		},
		Triggers: []pomelo.LoadTrigger{{Service: "sensors", Fault: pomelo.FakeFault{TruncateResponse: true}}},
	}
	return f, p
}

func newBench() *bench.Bench {
	f, p := testPlans()
	return bench.New(f, p, bench.WithSettleTime(0))
}

func TestControls(t *testing.T) {
	convey.Convey("The report of a run includes the executions of the stand-ins", t, func() {
		b := newBench()
		full, err := b.Run(context.Background(), pomelo.ControlFull)
		convey.So(err, convey.ShouldBeNil)
		none, err := b.Run(context.Background(), pomelo.ControlNone)
		convey.So(err, convey.ShouldBeNil)
		for _, p := range []pomelo.LoadReport{full, none} {
			convey.So(p.Total.Mismatched, convey.ShouldEqual, 0)
			convey.So(p.TriggersFailed, convey.ShouldEqual, 0)
			convey.So(p.Total.Complete, convey.ShouldBeGreaterThan, 0)
			convey.So(p.Total.Complete, convey.ShouldBeLessThan, p.Total.Offered)
			convey.So(p.Work.Wasted, convey.ShouldBeGreaterThan, 0)
			convey.So(p.Work.Executions, convey.ShouldBeGreaterThan, p.Work.Wasted)
			convey.So(p.Work.Duplicates, convey.ShouldEqual, 0)
			convey.So(p.Work.CallerKeysSeen, convey.ShouldEqual, 0)
			convey.So(p.Recoveries, convey.ShouldHaveLength, 1)
			convey.So(p.Accounts[0].WithinRate, convey.ShouldEqual, p.Total.Offered)
		}
		limit := int64(2 + pomelo.DefaultLimits().Retries)
		convey.So(full.Work.LargestTree, convey.ShouldBeLessThanOrEqualTo, limit)
		convey.So(none.Work.LargestTree, convey.ShouldBeGreaterThan, limit)
	})
}
