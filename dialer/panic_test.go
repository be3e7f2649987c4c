package dialer_test

import (
	"context"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestPanic(t *testing.T) {
	convey.Convey("A call whose handling panics at the serving node fails soon as one that may have run, and the next call is answered", t, func() {
		p := newPair(handler(func(_ context.Context, c pomelo.Call) pomelo.Answer {
			if c.ID == "bad" {
				panic("unexpected")
			}
			return pomelo.Answer{CallID: c.ID, Status: 200}
		}))
		defer p.close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a := p.pool.Send(ctx, p.member, pomelo.Call{ID: "bad"})
		convey.So(a.Refusal, convey.ShouldNotBeNil)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		convey.So(ctx.Err(), convey.ShouldBeNil)
		convey.So(p.pool.Send(ctx, p.member, pomelo.Call{ID: "good"}).Status, convey.ShouldEqual, 200)
	})
}
