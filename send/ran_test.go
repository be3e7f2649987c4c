package send_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/pick"
	"github.com/pomeloworks/pomelo/send"
	"github.com/smartystreets/goconvey/convey"
)

// scripted answers each attempt with the next refusal.
type scripted struct {
	refusals []pomelo.Fault
	attempts int
}

func (s *scripted) Send(_ context.Context, _ pomelo.Member, c pomelo.Call) pomelo.Answer {
	f := s.refusals[s.attempts]
	s.attempts++
	return pomelo.Refuse(c.ID, &f)
}

type members struct{ pomelo.Membership }

func (members) Self() pomelo.Member { return pomelo.Member{VM: "entry"} }

func (members) Serving(string) []pomelo.Member {
	return []pomelo.Member{{VM: "a"}, {VM: "b"}}
}

func TestRanOverAttempts(t *testing.T) {
	lost := pomelo.Fault{Kind: pomelo.KindPeerLost, Ran: pomelo.RanUnknown}
	ranBroken := pomelo.Fault{Kind: pomelo.KindUpstreamFailed, Ran: pomelo.RanYes}
	busy := pomelo.Fault{Kind: pomelo.KindOverload, Ran: pomelo.RanNo}
	cases := []struct {
		name          string
		refusals      []pomelo.Fault
		nonIdempotent bool
		attempts      int
		ran           pomelo.Ran
	}{
		{"an attempt in doubt before one that did not run", []pomelo.Fault{lost, busy}, false, 2, pomelo.RanUnknown},
		{"an attempt that ran before one that did not", []pomelo.Fault{ranBroken, busy}, false, 2, pomelo.RanYes},
		{"an attempt that ran before one in doubt", []pomelo.Fault{ranBroken, lost}, false, 2, pomelo.RanYes},
		{"two that did not run", []pomelo.Fault{busy, busy}, true, 2, pomelo.RanNo},
		{"a non-idempotent one in doubt", []pomelo.Fault{lost}, true, 1, pomelo.RanUnknown},
	}
	convey.Convey("The last refusal answers for all attempts", t, func() {
		for _, e := range cases {
			convey.Convey("after "+e.name, func() {
				tr := &scripted{refusals: e.refusals}
				c := clock.New()
				s := send.New(c, members{}, pick.New(c, 1), tr, nil, metric.New())
				call := pomelo.Call{ID: "1", Service: "shop", NonIdempotent: e.nonIdempotent, RetriesLeft: 5, Deadline: c.Now() + 5000}
				a := s.Handle(context.Background(), call)
				convey.So(tr.attempts, convey.ShouldEqual, e.attempts)
				convey.So(a.Refusal.Ran, convey.ShouldEqual, e.ran)
			})
		}
	})
}
