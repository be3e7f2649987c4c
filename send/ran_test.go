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

// fakeTransport answers each attempt with the next refusal.
type fakeTransport struct {
	refusals []pomelo.Fault
	attempts int
}

func (s *fakeTransport) Send(_ context.Context, _ pomelo.Member, c pomelo.Call) pomelo.Answer {
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
	ranFailed := pomelo.Fault{Kind: pomelo.KindUpstreamFailed, Ran: pomelo.RanYes}
	overloaded := pomelo.Fault{Kind: pomelo.KindOverload, Ran: pomelo.RanNo}
	cases := []struct {
		name          string
		refusals      []pomelo.Fault
		nonIdempotent bool
		attempts      int
		ran           pomelo.Ran
	}{
		{"an attempt in doubt before one that did not run", []pomelo.Fault{lost, overloaded}, false, 2, pomelo.RanUnknown},
		{"an attempt that ran before one that did not", []pomelo.Fault{ranFailed, overloaded}, false, 2, pomelo.RanYes},
		{"an attempt that ran before one in doubt", []pomelo.Fault{ranFailed, lost}, false, 2, pomelo.RanYes},
		{"two that did not run", []pomelo.Fault{overloaded, overloaded}, true, 2, pomelo.RanNo},
		{"a non-idempotent one in doubt", []pomelo.Fault{lost}, true, 1, pomelo.RanUnknown},
	}
	convey.Convey("The last refusal says whether any attempt may have run", t, func() {
		for _, tc := range cases {
			convey.Convey("after "+tc.name, func() {
				tr := &fakeTransport{refusals: tc.refusals}
				c := clock.New()
				s := send.New(c, members{}, pick.New(c, 1), tr, nil, metric.New())
				call := pomelo.Call{ID: "1", Service: "shop", NonIdempotent: tc.nonIdempotent, RetriesLeft: 5, Deadline: c.Now() + 5000}
				a := s.Handle(context.Background(), call)
				convey.So(tr.attempts, convey.ShouldEqual, tc.attempts)
				convey.So(a.Refusal.Ran, convey.ShouldEqual, tc.ran)
			})
		}
	})
}
