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

// upstream runs a call until it is let go or cancelled, and counts runs.
type upstream struct {
	started chan string
	let     chan struct{}
	runs    int
}

func (u *upstream) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	u.runs++
	u.started <- c.ID
	select {
	case <-u.let:
		return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: []byte(c.ID)}
	case <-ctx.Done():
		f := pomelo.NewFault(pomelo.KindCanceled, "cancelled", "")
		f.Ran = pomelo.RanUnknown
		return pomelo.Refuse(c.ID, f)
	}
}

func newTable(opts ...func(*fence.Table)) (*fence.Table, *upstream) {
	u := &upstream{started: make(chan string, 100), let: make(chan struct{}, 100)}
	return fence.New(clock.New(clock.WithManual(1)), u, opts...), u
}

func order(id string) pomelo.Call { return pomelo.Call{ID: id, NonIdempotent: true} }

func ask(id string) pomelo.FenceRequest { return pomelo.FenceRequest{ID: id} }

func run(t *fence.Table, u *upstream, id string) {
	u.let <- struct{}{}
	convey.So(t.Handle(context.Background(), order(id)).Refusal, convey.ShouldBeNil)
	<-u.started
}

func lostConnection() error { return pomelo.NewFault(pomelo.KindPeerLost, "lost", "") }

func TestSettle(t *testing.T) {
	convey.Convey("Given a table", t, func() {
		tb, u := newTable(fence.WithLimits(4, 2, 10_000))
		ctx := context.Background()
		convey.Convey("a call that had not started did not run, and never will", func() {
			a := tb.Resolve(ctx, ask("1"))
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(tb.Handle(ctx, order("1")).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(u.runs, convey.ShouldEqual, 0)
		})
		convey.Convey("a finished call gives its answer again, and its repeat does not run", func() {
			run(tb, u, "1")
			convey.So(string(tb.Resolve(ctx, ask("1")).Body), convey.ShouldEqual, "1")
			convey.So(string(tb.Handle(ctx, order("1")).Body), convey.ShouldEqual, "1")
			convey.So(u.runs, convey.ShouldEqual, 1)
		})
		convey.Convey("a running call outlives its connection and is waited for", func() {
			conn, lose := context.WithCancelCause(ctx)
			go tb.Handle(conn, order("1"))
			<-u.started
			lose(lostConnection())
			answers := make(chan pomelo.Answer)
			go func() { answers <- tb.Resolve(ctx, ask("1")) }()
			u.let <- struct{}{}
			convey.So(string((<-answers).Body), convey.ShouldEqual, "1")
		})
		convey.Convey("a running call ends when its caller cancels", func() {
			conn, cancel := context.WithCancelCause(ctx)
			answers := make(chan pomelo.Answer)
			go func() { answers <- tb.Handle(conn, order("1")) }()
			<-u.started
			cancel(pomelo.NewFault(pomelo.KindCanceled, "reset", ""))
			convey.So((<-answers).Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
		})
		convey.Convey("an idempotent call ends with its connection, and its fence leaves the outcome open", func() {
			conn, lose := context.WithCancelCause(ctx)
			answers := make(chan pomelo.Answer)
			go func() { answers <- tb.Handle(conn, pomelo.Call{ID: "1"}) }()
			<-u.started
			lose(lostConnection())
			convey.So((<-answers).Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
			a := tb.Resolve(ctx, pomelo.FenceRequest{ID: "1", Idempotent: true})
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindPeerLost)
		})
	})
}

func TestBounds(t *testing.T) {
	convey.Convey("Given a table at its bounds", t, func() {
		ctx := context.Background()
		convey.Convey("an answer dropped for its bytes still tells that the call ran", func() {
			tb, u := newTable(fence.WithLimits(4, 2, 600))
			run(tb, u, "1")
			run(tb, u, "2")
			a := tb.Resolve(ctx, ask("1"))
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanYes)
			convey.So(string(tb.Resolve(ctx, ask("2")).Body), convey.ShouldEqual, "2")
		})
		convey.Convey("once a record had to go, an unknown call's outcome is unknown until memory is whole again", func() {
			tb, u := newTable(fence.WithLimits(2, 9, 10_000))
			for _, id := range []string{"1", "2", "3"} {
				run(tb, u, id)
			}
			for _, id := range []string{"1", "never"} {
				convey.So(tb.Resolve(ctx, ask(id)).Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			}
			for range pomelo.FenceRetention/1000 + 3 {
				tb.Sweep()
			}
			convey.So(tb.Resolve(ctx, ask("never")).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
		convey.Convey("a fence that can't be recorded is not promised", func() {
			tb, u := newTable(fence.WithLimits(9, 2, 10_000))
			tb.Resolve(ctx, ask("1"))
			tb.Resolve(ctx, ask("2"))
			convey.So(tb.Resolve(ctx, ask("3")).Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			u.let <- struct{}{}
			convey.So(tb.Handle(ctx, order("3")).Refusal, convey.ShouldBeNil)
		})
		convey.Convey("a fence and a finished call are remembered for the whole time", func() {
			tb, u := newTable()
			run(tb, u, "ran")
			tb.Resolve(ctx, ask("fenced"))
			for range pomelo.FenceRetention / 1000 {
				tb.Sweep()
			}
			convey.So(tb.Resolve(ctx, ask("ran")).Refusal.Ran, convey.ShouldEqual, pomelo.RanYes)
			convey.So(tb.Handle(ctx, order("fenced")).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
	})
}
