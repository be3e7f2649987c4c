package ledger_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/smartystreets/goconvey/convey"
)

func lent(l *ledger.Ledger, token string) int {
	_, c, err := l.Begin(token, pomelo.Call{})
	convey.So(err, convey.ShouldBeNil)
	return c.RetriesLeft
}

func TestSubCallsShareTheRetries(t *testing.T) {
	convey.Convey("Given a record with three retries", t, func() {
		l := ledger.New(clock.New(clock.WithManual(0)))
		_, token := l.Open(context.Background(), pomelo.Call{Deadline: 100, RetriesLeft: 3})
		convey.Convey("Sub-calls at once get them all, and none twice", func() {
			convey.So(lent(l, token)+lent(l, token)+lent(l, token), convey.ShouldEqual, 3)
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 0)
		})
		convey.Convey("An answer brings back no more than there were", func() {
			_ = lent(l, token)
			l.Finish(token, pomelo.Answer{RetriesLeft: 1000})
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 3)
		})
		convey.Convey("An answer after the record's end brings back nothing", func() {
			_ = lent(l, token)
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 1)
			l.Finish(token, pomelo.Answer{RetriesLeft: 2})
			convey.So(l.Close(token).RetriesLeft, convey.ShouldEqual, 0)
		})
	})
	convey.Convey("A negative count lends nothing", t, func() {
		l := ledger.New(clock.New(clock.WithManual(0)))
		_, token := l.Open(context.Background(), pomelo.Call{Deadline: 100, RetriesLeft: -5})
		convey.So(lent(l, token), convey.ShouldEqual, 0)
	})
}
