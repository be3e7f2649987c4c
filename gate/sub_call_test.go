package gate

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
)

func TestSubCalls(t *testing.T) {
	convey.Convey("Given a gate that starts with places for 2 of 16 slots", t, func() {
		g := New(clock.New(clock.WithManual(1_000)))
		g.SetCapacity(16, 0)
		enter := func(id string) (*pass, *waiter) {
			w, err := g.arrive(1_000, pomelo.Call{ID: id, RootID: id, Deadline: 9_000})
			convey.So(err, convey.ShouldBeNil)
			return g.pass(), w
		}
		convey.Convey("calls that wait for sub-calls leave their places to others, up to the slots", func() {
			var held []*pass
			for range 16 {
				p, w := enter("a")
				convey.So(w, convey.ShouldBeNil)
				p.SetWaiting(true)
				held = append(held, p)
			}
			_, w := enter("b")
			convey.So(w, convey.ShouldNotBeNil)
			held[0].Release(0, true)
			convey.So(<-w.turn, convey.ShouldBeNil)
		})
		convey.Convey("an end comes once, whatever is said of waiting after it", func() {
			p, _ := enter("a")
			p.SetWaiting(true)
			p.Release(5, true)
			p.SetWaiting(false)
			convey.So(g.running, convey.ShouldEqual, 0)
			convey.So(g.held, convey.ShouldEqual, 0)
		})
	})
}
