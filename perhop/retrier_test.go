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
	extra   = 2
	forever = pomelo.Millis(1 << 50)
)

// hop answers with what it was given and counts the attempts.
type hop struct {
	answer   pomelo.Answer
	attempts int
	next     pomelo.Handler
}

// Handle passes the call on to the next hop, if there is one.
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
	rows := []struct {
		name          string
		answer        pomelo.Answer
		nonIdempotent bool
		want          int
	}{
		{"whole", pomelo.Answer{Status: http.StatusOK}, false, 1},
		{"an upstream's failure", pomelo.Answer{Status: http.StatusBadGateway}, false, 1 + extra},
		{"an upstream's failure, non-idempotent", pomelo.Answer{Status: http.StatusBadGateway}, true, 1},
		{"refused and not run", refusal(pomelo.RanNo), true, 1 + extra},
		{"refused after it ran", refusal(pomelo.RanYes), false, 1 + extra},
		{"in doubt, non-idempotent", refusal(pomelo.RanUnknown), true, 1},
	}
	convey.Convey("A hop repeats what failed, and never what may have run once already and must not run twice", t, func() {
		for _, r := range rows {
			h := &hop{answer: r.answer}
			c := pomelo.Call{NonIdempotent: r.nonIdempotent, Deadline: forever, RetriesLeft: 7}
			a := perhop.New(h, clock.New(), extra).Handle(context.Background(), c)
			convey.So(h.attempts, convey.ShouldEqual, r.want)
			convey.So(a.RetriesLeft, convey.ShouldEqual, 7)
		}
	})
	convey.Convey("Two hops multiply their attempts", t, func() {
		deep := &hop{answer: refusal(pomelo.RanNo)}
		first := &hop{next: perhop.New(deep, clock.New(), extra)}
		perhop.New(first, clock.New(), extra).Handle(context.Background(), pomelo.Call{Deadline: forever})
		convey.So(deep.attempts, convey.ShouldEqual, (1+extra)*(1+extra))
	})
	convey.Convey("Nothing is repeated past the deadline", t, func() {
		h := &hop{answer: refusal(pomelo.RanNo)}
		perhop.New(h, clock.New(), extra).Handle(context.Background(), pomelo.Call{Deadline: 1})
		convey.So(h.attempts, convey.ShouldEqual, 1)
	})
}
