package intake

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestStop(t *testing.T) {
	convey.Convey("Given a stop that ends at 1,000 ms", t, func() {
		i := New(nil, nil, nil, nil, nil, nil, nil, nil, nil, "", 0)
		i.StopBy(1_000)
		call := func(depth int, objective pomelo.Millis) *pomelo.Call {
			return &pomelo.Call{Depth: depth, LatencyObjective: objective, Deadline: 5_000}
		}
		convey.Convey("a request that can be expected to be answered by then is taken, with that deadline", func() {
			c := call(0, 600)
			convey.So(i.stop.limit(c, 700), convey.ShouldBeNil)
			convey.So(c.Deadline, convey.ShouldEqual, 1_000)
		})
		convey.Convey("another one is refused as not run", func() {
			f := i.stop.limit(call(0, 602), 700)
			convey.So(f.Kind, convey.ShouldEqual, pomelo.KindDraining)
			convey.So(f.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
		convey.Convey("sub-calls are taken to the end, and new requests no more", func() {
			i.RefuseNew()
			convey.So(i.stop.limit(call(1, 600), 950), convey.ShouldBeNil)
			convey.So(i.stop.limit(call(0, 0), 0).Ran, convey.ShouldEqual, pomelo.RanNo)
		})
	})
	convey.Convey("Without a stop nothing is limited", t, func() {
		i := New(nil, nil, nil, nil, nil, nil, nil, nil, nil, "", 0)
		c := &pomelo.Call{LatencyObjective: 10_000, Deadline: 5_000}
		convey.So(i.stop.limit(c, 4_000), convey.ShouldBeNil)
		convey.So(c.Deadline, convey.ShouldEqual, 5_000)
	})
}
