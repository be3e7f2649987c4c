package perhop_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/perhop"
	"github.com/smartystreets/goconvey/convey"
)

const (
	maxRetries  = 2
	farDeadline = pomelo.Millis(1 << 50)
)

// hop is a handler that counts the attempts; it returns a given answer or that of the next hop.
type hop struct {
	answer   pomelo.Answer
	attempts int
	next     pomelo.Handler
}

// Handle passes the call to the next hop, if there is one.
func (h *hop) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	h.attempts++
	if h.next != nil {
		return h.next.Handle(ctx, c)
	}
	return h.answer
}

func refusal(ran pomelo.Ran) pomelo.Answer {
	f := pomelo.NewFault(pomelo.KindOverload, "full", "wait")
	f.Ran = ran
	return pomelo.Answer{Refusal: f}
}

func TestAttempts(t *testing.T) {
	cases := []struct {
		name          string
		answer        pomelo.Answer
		nonIdempotent bool
		want          int
	}{
		{"complete answer", pomelo.Answer{Status: http.StatusOK}, false, 1},
		{"an upstream's failure", pomelo.Answer{Status: http.StatusBadGateway}, false, 1 + maxRetries},
		{"an upstream's failure, non-idempotent", pomelo.Answer{Status: http.StatusBadGateway}, true, 1},
		{"refused without running", refusal(pomelo.RanNo), true, 1 + maxRetries},
		{"refused after running", refusal(pomelo.RanYes), false, 1 + maxRetries},
		{"in doubt, non-idempotent", refusal(pomelo.RanUnknown), true, 1},
	}
	convey.Convey("A hop retries a failed call, unless it is non-idempotent and may have run", t, func() {
		for _, tc := range cases {
			h := &hop{answer: tc.answer}
			c := pomelo.Call{NonIdempotent: tc.nonIdempotent, Deadline: farDeadline, RetriesLeft: 7}
			a := perhop.New(h, clock.New(), maxRetries).Handle(context.Background(), c)
			convey.So(h.attempts, convey.ShouldEqual, tc.want)
			convey.So(a.RetriesLeft, convey.ShouldEqual, 7)
		}
	})
	convey.Convey("The attempts of two hops multiply", t, func() {
		last := &hop{answer: refusal(pomelo.RanNo)}
		first := &hop{next: perhop.New(last, clock.New(), maxRetries)}
		perhop.New(first, clock.New(), maxRetries).Handle(context.Background(), pomelo.Call{Deadline: farDeadline})
		convey.So(last.attempts, convey.ShouldEqual, (1+maxRetries)*(1+maxRetries))
	})
	convey.Convey("A call is not retried after its deadline", t, func() {
		h := &hop{answer: refusal(pomelo.RanNo)}
		perhop.New(h, clock.New(), maxRetries).Handle(context.Background(), pomelo.Call{Deadline: 1})
		convey.So(h.attempts, convey.ShouldEqual, 1)
	})
}
