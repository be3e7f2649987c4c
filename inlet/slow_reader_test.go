package inlet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/inlet"
	"github.com/smartystreets/goconvey/convey"
)

// slowReplyBytes is more than the buffers of a loopback connection hold.
const slowReplyBytes = 32 << 20

// endsPending reports whether no request stays pending; a reply may arrive just before its write has returned.
func endsPending(s *inlet.Server) bool {
	return eventually(func() bool { return s.Pending() == 0 })
}

// eventually polls until f returns true, for at most testTimeout.
func eventually(f func() bool) bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// TestPendingWhileRead guards against LOST: a stopping node ends while a caller still reads a reply.
func TestPendingWhileRead(t *testing.T) {
	convey.Convey("A request is pending until its reply has been written, also behind others on its connection", t, func() {
		h := func(context.Context, *http.Request, []byte) pomelo.Reply {
			return pomelo.Reply{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, slowReplyBytes)}
		}
		for requests := 1; requests <= 2; requests++ {
			s := start(t, h, pomelo.TrafficLimits{})
			c, r := dial(s)
			for i := range requests {
				fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
			}
			time.Sleep(200 * time.Millisecond)
			s.Drain()
			s.Close()
			convey.So(s.Pending(), convey.ShouldEqual, requests)
			for range requests {
				convey.So(s.Pending(), convey.ShouldBeGreaterThan, 0)
				resp, err := http.ReadResponse(r, nil)
				convey.So(err, convey.ShouldBeNil)
				n, err := io.Copy(io.Discard, resp.Body)
				convey.So(err, convey.ShouldBeNil)
				convey.So(n, convey.ShouldEqual, slowReplyBytes)
			}
			_ = c.Close()
			convey.So(endsPending(s), convey.ShouldBeTrue)
		}
	})
	convey.Convey("A caller that stops reading and closes leaves no request pending", t, func() {
		h := func(context.Context, *http.Request, []byte) pomelo.Reply {
			return pomelo.Reply{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, slowReplyBytes)}
		}
		s := start(t, h, pomelo.TrafficLimits{})
		c, _ := dial(s)
		_, _ = io.WriteString(c, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		_ = c.Close()
		convey.So(endsPending(s), convey.ShouldBeTrue)
	})
}
