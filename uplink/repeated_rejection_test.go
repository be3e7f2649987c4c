package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

func rejection(header string) string {
	return "HTTP/1.1 503 Full\r\n" + header + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// serveRepeatedly rejects the first call and runs all others; the rejection is written once more on its connection before the response to the given call on it.
func serveRepeatedly(t *testing.T, repeatBefore int, runs *atomic.Int64) *fakeServer {
	var rejected atomic.Bool
	return serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
		repeated := ""
		for n := 1; ; n++ {
			id := readID(r)
			if id == "" {
				return
			}
			if rejected.CompareAndSwap(false, true) {
				repeated = rejection("X-Id: " + id + "\r\n")
				_, _ = io.WriteString(c, repeated)
				continue
			}
			if n == repeatBefore {
				_, _ = io.WriteString(c, repeated)
			}
			runs.Add(1)
			_, _ = io.WriteString(c, response(id, "ok"))
		}
	})
}

// do sends a call that must be answered within a second.
func do(cl *uplink.Client, s *fakeServer, id string) pomelo.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return cl.Do(ctx, pomelo.Instance{Address: s.address}, call(id, "order"))
}

// TestRepeatedRejection guards against TWICE and REFUSED: a rejection that the upstream repeats late is taken for the response to the next attempt of the same call.
func TestRepeatedRejection(t *testing.T) {
	cases := []struct {
		name         string
		repeatBefore int
		ids          []string
	}{
		{"is repeated before the response to the second attempt", 2, []string{"1", "1"}},
		{"is repeated after a call in between", 3, []string{"1", "2", "1"}},
	}
	for _, tc := range cases {
		convey.Convey("When a rejection "+tc.name+", each call that runs is answered", t, func() {
			var runs atomic.Int64
			s := serveRepeatedly(t, tc.repeatBefore, &runs)
			cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
			a := do(cl, s, tc.ids[0])
			convey.So(a.Refusal, convey.ShouldNotBeNil)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			for i, id := range tc.ids[1:] {
				a := do(cl, s, id)
				convey.So(a.Refusal, convey.ShouldBeNil)
				convey.So(string(a.Body), convey.ShouldEqual, "ok")
				convey.So(runs.Load(), convey.ShouldEqual, i+1)
			}
		})
	}
}

// TestRejectionsKeepConnections guards against a new connection for each rejected call.
func TestRejectionsKeepConnections(t *testing.T) {
	convey.Convey("An upstream that rejects every call gets one connection for many calls, and one for each attempt of the same call", t, func() {
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			respond(c, r, func(id string) string { return rejection("X-Id: " + id + "\r\n") })
		})
		cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
		for i := range 60 {
			convey.So(do(cl, s, itoa(i)).Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 1)
		for range 3 {
			convey.So(do(cl, s, "again").Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 3)
	})
}
