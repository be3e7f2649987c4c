package uplink_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

// TestUnnamedRejection guards against REFUSED and TWICE: a rejection without an id, which the upstream wrote for an earlier call, is taken for the response to a call that runs.
func TestUnnamedRejection(t *testing.T) {
	cases := []struct {
		name string
		// first is the response to the connection's first call, and rejected whether it rejects the call.
		first    func(id string) string
		rejected bool
		conns    int64
	}{
		{"after an answered call", func(id string) string { return response(id, "ok") }, false, 1},
		{"after a rejected call that it named", func(id string) string { return rejection("X-Id: " + id + "\r\n") }, true, 1},
		{"after a call that was rejected without a name", func(string) string { return rejection("") }, true, 2},
	}
	for _, tc := range cases {
		convey.Convey("A rejection that names no call and comes "+tc.name+" is not the next call's, which gets its own response", t, func() {
			s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
				for n := 0; ; n++ {
					id := readID(r)
					switch {
					case id == "":
						return
					case id == "1":
						_, _ = io.WriteString(c, tc.first(id))
					default:
						repeated := ""
						if n > 0 {
							repeated = rejection("")
						}
						_, _ = io.WriteString(c, repeated+response(id, "ok"))
					}
				}
			})
			cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
			a := do(cl, s, "1")
			convey.So(a.Refusal != nil, convey.ShouldEqual, tc.rejected)
			if tc.rejected {
				convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			}
			b := do(cl, s, "2")
			convey.So(b.Refusal, convey.ShouldBeNil)
			convey.So(string(b.Body), convey.ShouldEqual, "ok")
			convey.So(s.conns.Load(), convey.ShouldEqual, tc.conns)
		})
	}
}

// TestUnnamedRejectionAfterStray guards against REFUSED: after a response to another call, a rejection without an id is taken for the call's.
func TestUnnamedRejectionAfterStray(t *testing.T) {
	convey.Convey("A rejection that names no call and comes after a response to another call is skipped", t, func() {
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			respond(c, r, func(id string) string { return response("other", "no") + rejection("") + response(id, "ok") })
		})
		a := do(uplink.New(fakeDialect{}, clock.New(), metric.New()), s, "1")
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(string(a.Body), convey.ShouldEqual, "ok")
	})
}
