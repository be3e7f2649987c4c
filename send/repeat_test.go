package send_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/pick"
	"github.com/pomeloworks/pomelo/send"
	"github.com/smartystreets/goconvey/convey"
)

// shedding upstreams turn a call away so many times, and note where it was sent.
type shedding struct {
	times int
	kind  pomelo.Kind
	ran   pomelo.Ran
	sent  map[string]int
}

func (s *shedding) Send(_ context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	s.sent[m.VM]++
	if s.times == 0 {
		return pomelo.Answer{CallID: c.ID, Status: http.StatusOK}
	}
	s.times--
	a := pomelo.Refuse(c.ID, &pomelo.Fault{Kind: s.kind, Ran: s.ran})
	a.ReachedUpstream = true
	return a
}

func (s *shedding) total() int { return s.sent["a"] + s.sent["b"] }

// spent allows so many retries.
type spent struct{ left int }

func (s *spent) RecordCall(string) {}

func (s *spent) TryRetry(string) bool {
	s.left--
	return s.left >= 0
}

func TestRepeats(t *testing.T) {
	c := clock.New()
	handle := func(s *shedding, limit *spent) pomelo.Answer {
		s.sent = map[string]int{}
		x := send.New(c, members{}, pick.New(c, 1), s, nil, metric.New(), send.WithRetryLimiter(limit), send.WithPlacements(4), send.WithRepeats(6))
		return x.Handle(context.Background(), pomelo.Call{ID: "1", Service: "shop", NonIdempotent: true, RetriesLeft: 1, Deadline: c.Now() + 5000})
	}
	convey.Convey("A call with one retry that its upstreams turn away", t, func() {
		convey.Convey("goes to the same two again until one takes it", func() {
			s := &shedding{times: 5, kind: pomelo.KindOverload, ran: pomelo.RanNo}
			a := handle(s, &spent{left: 100})
			convey.So(a.Status, convey.ShouldEqual, http.StatusOK)
			convey.So(s.total(), convey.ShouldEqual, 6)
			convey.So(len(s.sent), convey.ShouldEqual, 2)
		})
		convey.Convey("ends after its most attempts", func() {
			s := &shedding{times: 100, kind: pomelo.KindOverload, ran: pomelo.RanNo}
			convey.So(handle(s, &spent{left: 100}).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(s.total(), convey.ShouldEqual, 6)
		})
		convey.Convey("ends when the service's retries are spent", func() {
			s := &shedding{times: 100, kind: pomelo.KindOverload, ran: pomelo.RanNo}
			handle(s, &spent{left: 2})
			convey.So(s.total(), convey.ShouldEqual, 3)
		})
		convey.Convey("is never sent again once it may have run", func() {
			s := &shedding{times: 100, kind: pomelo.KindUpstreamFailed, ran: pomelo.RanUnknown}
			convey.So(handle(s, &spent{left: 100}).Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			convey.So(s.total(), convey.ShouldEqual, 1)
		})
	})
}

func TestLeftBefore(t *testing.T) {
	convey.Convey("A call whose caller has left is not sent", t, func() {
		c := clock.New()
		s := &shedding{sent: map[string]int{}}
		x := send.New(c, members{}, pick.New(c, 1), s, nil, metric.New())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		a := x.Handle(ctx, pomelo.Call{ID: "1", Service: "shop", Deadline: c.Now() + 5000})
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		convey.So(s.total(), convey.ShouldEqual, 0)
	})
}
