package ledger_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/smartystreets/goconvey/convey"
)

func beginForRetries(l *ledger.Ledger, token string) int {
	_, c, err := l.BeginSubCall(token, pomelo.Call{})
	convey.So(err, convey.ShouldBeNil)
	return c.RetriesLeft
}

func TestSubCallsShareTheRetries(t *testing.T) {
	convey.Convey("Given a record with three retries", t, func() {
		l := ledger.New(clock.New(clock.WithManual(0)))
		_, token := l.Open(context.Background(), pomelo.Call{Deadline: 100, RetriesLeft: 3})
		convey.Convey("Concurrent sub-calls get all retries between them, and none twice", func() {
			convey.So(beginForRetries(l, token)+beginForRetries(l, token)+beginForRetries(l, token), convey.ShouldEqual, 3)
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 0)
		})
		convey.Convey("An answer returns no more retries than the call had", func() {
			_ = beginForRetries(l, token)
			l.FinishSubCall(token, pomelo.Answer{RetriesLeft: 1000})
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 3)
		})
		convey.Convey("An answer after the record was closed returns no retries", func() {
			_ = beginForRetries(l, token)
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 1)
			l.FinishSubCall(token, pomelo.Answer{RetriesLeft: 2})
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 0)
		})
	})
	convey.Convey("A negative retry count gives sub-calls none", t, func() {
		l := ledger.New(clock.New(clock.WithManual(0)))
		_, token := l.Open(context.Background(), pomelo.Call{Deadline: 100, RetriesLeft: -5})
		convey.So(beginForRetries(l, token), convey.ShouldEqual, 0)
	})
}
