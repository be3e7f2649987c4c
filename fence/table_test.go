package fence_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fence"
	"github.com/smartystreets/goconvey/convey"
)

// upstream blocks each call until the test releases it or the call is cancelled, and counts runs.
type upstream struct {
	started chan string
	release chan struct{}
	runs    int
}

func (u *upstream) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	u.runs++
	u.started <- c.ID
	select {
	case <-u.release:
		return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: []byte(c.ID)}
	case <-ctx.Done():
		f := pomelo.NewFault(pomelo.KindCanceled, "cancelled", "")
		f.Ran = pomelo.RanUnknown
		return pomelo.Refuse(c.ID, f)
	}
}

func newTable(opts ...func(*fence.Table)) (*fence.Table, *upstream) {
	u := &upstream{started: make(chan string, 100), release: make(chan struct{}, 100)}
	return fence.New(clock.New(clock.WithManual(1)), u, opts...), u
}

func nonIdempotentCall(id string) pomelo.Call { return pomelo.Call{ID: id, NonIdempotent: true} }

func fenceRequest(id string) pomelo.FenceRequest { return pomelo.FenceRequest{ID: id} }

func runCall(t *fence.Table, u *upstream, id string) {
	u.release <- struct{}{}
	convey.So(t.Handle(context.Background(), nonIdempotentCall(id)).Refusal, convey.ShouldBeNil)
	<-u.started
}

func lostConnection() error { return pomelo.NewFault(pomelo.KindPeerLost, "lost", "") }

func TestSettle(t *testing.T) {
	convey.Convey("Given a table", t, func() {
		tb, u := newTable(fence.WithLimits(4, 2, 10_000))
		ctx := context.Background()
		convey.Convey("a call that had not started when it was queried never runs", func() {
			a := tb.Resolve(ctx, fenceRequest("1"))
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(tb.Handle(ctx, nonIdempotentCall("1")).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(u.runs, convey.ShouldEqual, 0)
		})
		convey.Convey("a finished call returns the same answer again, and a repeated call does not run", func() {
			runCall(tb, u, "1")
			convey.So(string(tb.Resolve(ctx, fenceRequest("1")).Body), convey.ShouldEqual, "1")
			convey.So(string(tb.Handle(ctx, nonIdempotentCall("1")).Body), convey.ShouldEqual, "1")
			convey.So(u.runs, convey.ShouldEqual, 1)
		})
		convey.Convey("a running call goes on after its connection is lost, and a query waits for its answer", func() {
			connCtx, loseConnection := context.WithCancelCause(ctx)
			go tb.Handle(connCtx, nonIdempotentCall("1"))
			<-u.started
			loseConnection(lostConnection())
			answers := make(chan pomelo.Answer)
			go func() { answers <- tb.Resolve(ctx, fenceRequest("1")) }()
			u.release <- struct{}{}
			convey.So(string((<-answers).Body), convey.ShouldEqual, "1")
		})
		convey.Convey("a running call ends when its caller cancels", func() {
			connCtx, cancel := context.WithCancelCause(ctx)
			answers := make(chan pomelo.Answer)
			go func() { answers <- tb.Handle(connCtx, nonIdempotentCall("1")) }()
			<-u.started
			cancel(pomelo.NewFault(pomelo.KindCanceled, "reset", ""))
			convey.So((<-answers).Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
		})
		convey.Convey("an idempotent call is cancelled with its connection, and a query reports the outcome as unknown", func() {
			connCtx, loseConnection := context.WithCancelCause(ctx)
			answers := make(chan pomelo.Answer)
			go func() { answers <- tb.Handle(connCtx, pomelo.Call{ID: "1"}) }()
			<-u.started
			loseConnection(lostConnection())
			convey.So((<-answers).Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
			a := tb.Resolve(ctx, pomelo.FenceRequest{ID: "1", Idempotent: true})
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindPeerLost)
		})
	})
}

func TestBounds(t *testing.T) {
	convey.Convey("Given a table at its limits", t, func() {
		ctx := context.Background()
		convey.Convey("after an answer is dropped over the size limit, a query still reports that the call ran", func() {
			tb, u := newTable(fence.WithLimits(4, 2, 600))
			runCall(tb, u, "1")
			runCall(tb, u, "2")
			a := tb.Resolve(ctx, fenceRequest("1"))
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanYes)
			convey.So(string(tb.Resolve(ctx, fenceRequest("2")).Body), convey.ShouldEqual, "2")
		})
		convey.Convey("after a record is removed over the limit, the outcome of an unrecorded call is unknown until the retention time has passed", func() {
			tb, u := newTable(fence.WithLimits(2, 9, 10_000))
			for _, id := range []string{"1", "2", "3"} {
				runCall(tb, u, id)
			}
			for _, id := range []string{"1", "never"} {
				convey.So(tb.Resolve(ctx, fenceRequest(id)).Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			}
			for range pomelo.FenceRetention/1000 + 3 {
				tb.Sweep()
			}
			convey.So(tb.Resolve(ctx, fenceRequest("never")).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
		convey.Convey("a call that can't be fenced because of the limit is not reported as fenced, and can still run", func() {
			tb, u := newTable(fence.WithLimits(9, 2, 10_000))
			tb.Resolve(ctx, fenceRequest("1"))
			tb.Resolve(ctx, fenceRequest("2"))
			convey.So(tb.Resolve(ctx, fenceRequest("3")).Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			u.release <- struct{}{}
			convey.So(tb.Handle(ctx, nonIdempotentCall("3")).Refusal, convey.ShouldBeNil)
		})
		convey.Convey("fences and finished calls are retained for the full retention time", func() {
			tb, u := newTable()
			runCall(tb, u, "ran")
			tb.Resolve(ctx, fenceRequest("fenced"))
			for range pomelo.FenceRetention / 1000 {
				tb.Sweep()
			}
			convey.So(tb.Resolve(ctx, fenceRequest("ran")).Refusal.Ran, convey.ShouldEqual, pomelo.RanYes)
			convey.So(tb.Handle(ctx, nonIdempotentCall("fenced")).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
	})
}
