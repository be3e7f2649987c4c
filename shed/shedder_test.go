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

// deepService answers as a call tree whose last service refuses calls below its threshold.
type deepService struct {
	threshold float64
	status    int
	calls     int
}

// Handle counts the requests that were not shed.
func (d *deepService) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	d.calls++
	if c.RouteName == "prices" {
		return pomelo.Answer{CallID: c.ID, Status: d.status, SubtreeCalls: []pomelo.SubtreeCalls{{Service: "shop", Calls: 1}}}
	}
	return pomelo.Answer{CallID: c.ID, Status: d.status, SubtreeCalls: []pomelo.SubtreeCalls{
		{Service: "history", Calls: 1},
		{Service: "sensors", Calls: 3, ShedThreshold: d.threshold},
	}}
}

type harness struct {
	clock *clock.Clock
	deep  *deepService
	shed  *shed.Shedder
	sent  int
}

func newHarness() *harness {
	h := &harness{clock: clock.New(clock.WithManual(1_000)), deep: &deepService{status: 200}}
	h.shed = shed.New(h.clock, h.deep, metric.New(), shed.WithSeed(1))
	return h
}

// passedShare sends n requests with distinct roots and returns the share that was not shed.
func (h *harness) passedShare(n int, route, account string, importance int) float64 {
	before := h.deep.calls
	for range n {
		h.sent++
		id := fmt.Sprint(h.sent)
		h.shed.Handle(context.Background(), pomelo.Call{ID: id, RootID: id, RouteName: route, Account: account, Importance: importance})
	}
	return float64(h.deep.calls-before) / float64(n)
}

func TestShedder(t *testing.T) {
	convey.Convey("Given a route that calls a service which refuses below 0.35", t, func() {
		h := newHarness()
		convey.So(h.passedShare(100, "history", "a", 5), convey.ShouldEqual, 1)
		h.deep.threshold = 0.35
		h.passedShare(100, "history", "a", 5)
		convey.Convey("Less important requests are refused at the entry but for probes, half of those at the threshold's importance, none above it", func() {
			convey.So(h.passedShare(2_000, "history", "a", 2), convey.ShouldBeBetween, 0.001, 0.03)
			convey.So(h.passedShare(2_000, "history", "a", 3), convey.ShouldBeBetween, 0.4, 0.6)
			convey.So(h.passedShare(2_000, "history", "a", 4), convey.ShouldEqual, 1)
		})
		convey.Convey("The refusal is final, as not run, with RetryAfter, and leaves the retries unspent", func() {
			a := h.shed.Handle(context.Background(), pomelo.Call{ID: "x", RootID: "x", RouteName: "history", Account: "a", RetriesLeft: 2})
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindOverload)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(a.Refusal.RetryAfter, convey.ShouldBeBetweenOrEqual, 500, 1_500)
			convey.So(a.RetriesLeft, convey.ShouldEqual, 2)
		})
		convey.Convey("Other accounts, and routes that don't call the service, are not refused", func() {
			convey.So(h.passedShare(100, "prices", "a", 0), convey.ShouldEqual, 1)
			h.deep.threshold = 0
			convey.So(h.passedShare(100, "history", "b", 0), convey.ShouldEqual, 1)
		})
		convey.Convey("A threshold that no answer updates expires", func() {
			h.deep.threshold = 0
			h.clock.Advance(2_000)
			convey.So(h.passedShare(100, "history", "a", 0), convey.ShouldEqual, 1)
		})
		convey.Convey("Answers with a threshold of 0 end the refusals", func() {
			h.deep.threshold = 0
			h.passedShare(100, "history", "a", 9)
			convey.So(h.passedShare(100, "history", "a", 0), convey.ShouldEqual, 1)
		})
	})
	convey.Convey("Failed answers add services to the call graph as well", t, func() {
		h := newHarness()
		h.deep.status = 502
		h.deep.threshold = 0.5
		h.passedShare(100, "history", "a", 9)
		convey.So(h.passedShare(100, "history", "a", 0), convey.ShouldBeLessThan, 0.1)
	})
}
