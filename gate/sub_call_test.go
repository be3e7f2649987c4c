package gate

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
)

func TestSubCalls(t *testing.T) {
	convey.Convey("Given a limiter that starts with a concurrency limit of 2 for 16 slots", t, func() {
		l := New(clock.New(clock.WithManual(1_000)))
		l.SetCapacity(16, 0)
		acquire := func(id string) (*permit, *waiter) {
			w, err := l.admitOrQueue(1_000, pomelo.Call{ID: id, RootID: id, Deadline: 9_000})
			convey.So(err, convey.ShouldBeNil)
			return l.newPermit(), w
		}
		convey.Convey("calls that wait for sub-calls don't count against the limit, but each takes a slot", func() {
			var admitted []*permit
			for range 16 {
				p, w := acquire("a")
				convey.So(w, convey.ShouldBeNil)
				p.SetWaiting(true)
				admitted = append(admitted, p)
			}
			_, w := acquire("b")
			convey.So(w, convey.ShouldNotBeNil)
			admitted[0].Release(0, true)
			convey.So(<-w.decision, convey.ShouldBeNil)
		})
		convey.Convey("SetWaiting after Release changes nothing", func() {
			p, _ := acquire("a")
			p.SetWaiting(true)
			p.Release(5, true)
			p.SetWaiting(false)
			convey.So(l.running, convey.ShouldEqual, 0)
			convey.So(l.occupied, convey.ShouldEqual, 0)
		})
	})
}
