package shed_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/shed"
	"github.com/smartystreets/goconvey/convey"
)

// deep answers for a tree whose deepest service refuses below its threshold.
type deep struct {
	threshold float64
	status    int
	calls     int
}

// Handle counts what got through.
func (d *deep) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	d.calls++
	if c.RouteName == "prices" {
		return pomelo.Answer{CallID: c.ID, Status: d.status, SubtreeCalls: []pomelo.SubtreeCalls{{Service: "shop", Calls: 1}}}
	}
	return pomelo.Answer{CallID: c.ID, Status: d.status, SubtreeCalls: []pomelo.SubtreeCalls{
		{Service: "history", Calls: 1},
		{Service: "sensors", Calls: 3, ShedThreshold: d.threshold},
	}}
}

type rig struct {
	clock *clock.Clock
	deep  *deep
	shed  *shed.Shedder
	sent  int
}

func newRig() *rig {
	r := &rig{clock: clock.New(clock.WithManual(1_000)), deep: &deep{status: 200}}
	r.shed = shed.New(r.clock, r.deep, metric.New(), shed.WithSeed(1))
	return r
}

// passed sends n requests of distinct roots and returns the share that got through.
func (r *rig) passed(n int, kind, account string, importance int) float64 {
	before := r.deep.calls
	for range n {
		r.sent++
		id := fmt.Sprint(r.sent)
		r.shed.Handle(context.Background(), pomelo.Call{ID: id, RootID: id, RouteName: kind, Account: account, Importance: importance})
	}
	return float64(r.deep.calls-before) / float64(n)
}

func TestShedder(t *testing.T) {
	convey.Convey("Given a kind of request whose deep service refuses below 0.35", t, func() {
		r := newRig()
		convey.So(r.passed(100, "history", "a", 5), convey.ShouldEqual, 1)
		r.deep.threshold = 0.35
		r.passed(100, "history", "a", 5)
		convey.Convey("The less important are refused at the entry but for probes, half of the level between, none above", func() {
			convey.So(r.passed(2_000, "history", "a", 2), convey.ShouldBeBetween, 0.001, 0.03)
			convey.So(r.passed(2_000, "history", "a", 3), convey.ShouldBeBetween, 0.4, 0.6)
			convey.So(r.passed(2_000, "history", "a", 4), convey.ShouldEqual, 1)
		})
		convey.Convey("The refusal is final and says that nothing ran and when to come back", func() {
			a := r.shed.Handle(context.Background(), pomelo.Call{ID: "x", RootID: "x", RouteName: "history", Account: "a", RetriesLeft: 2})
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindOverload)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(a.Refusal.RetryAfter, convey.ShouldBeBetweenOrEqual, 500, 1_500)
			convey.So(a.RetriesLeft, convey.ShouldEqual, 2)
		})
		convey.Convey("Other accounts, and kinds that don't need the service, pass", func() {
			convey.So(r.passed(100, "prices", "a", 0), convey.ShouldEqual, 1)
			r.deep.threshold = 0
			convey.So(r.passed(100, "history", "b", 0), convey.ShouldEqual, 1)
		})
		convey.Convey("A level that nothing renews expires", func() {
			r.deep.threshold = 0
			r.clock.Advance(2_000)
			convey.So(r.passed(100, "history", "a", 0), convey.ShouldEqual, 1)
		})
		convey.Convey("Answers that tell of room end it", func() {
			r.deep.threshold = 0
			r.passed(100, "history", "a", 9)
			convey.So(r.passed(100, "history", "a", 0), convey.ShouldEqual, 1)
		})
	})
	convey.Convey("Failed answers teach the graph as well", t, func() {
		r := newRig()
		r.deep.status = 502
		r.deep.threshold = 0.5
		r.passed(100, "history", "a", 9)
		convey.So(r.passed(100, "history", "a", 0), convey.ShouldBeLessThan, 0.1)
	})
}
