package dialer_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestBadHead(t *testing.T) {
	for name, a := range map[string]pomelo.Answer{
		"the status 000":                 {Status: 0},
		"the status 600":                 {Status: 600},
		"a blank in the name of a field": {Status: 200, Header: http.Header{"Content-Length ": {"2"}}},
		"a control byte in a value":      {Status: 200, Header: http.Header{"X": {"a\x00b"}}},
	} {
		convey.Convey("An answer with "+name+" that a node of an earlier version passes on is refused, and may have run", t, func() {
			p := newPair(handler(func(_ context.Context, c pomelo.Call) pomelo.Answer {
				a.CallID = c.ID
				return a
			}))
			defer p.close()
			got := p.pool.Send(context.Background(), p.member, pomelo.Call{ID: "1"})
			convey.So(got.Refusal, convey.ShouldNotBeNil)
			convey.So(got.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
			convey.So(got.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		})
	}
}
