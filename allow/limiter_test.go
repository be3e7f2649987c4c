package allow_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/allow"
	"github.com/smartystreets/goconvey/convey"
)

func TestGate(t *testing.T) {
	convey.Convey("A limiter with a capacity of one slot admits a hundred calls at once", t, func() {
		l := allow.New()
		l.SetCapacity(1, 1)
		for range 100 {
			p, err := l.Acquire(context.Background(), pomelo.Call{})
			convey.So(err, convey.ShouldBeNil)
			convey.So(p, convey.ShouldNotBeNil)
		}
		convey.So(l.ShedThreshold(""), convey.ShouldEqual, 0)
	})
}
