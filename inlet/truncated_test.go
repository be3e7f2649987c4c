package inlet_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// truncatedRequests are requests that a caller may break off.
var truncatedRequests = []string{
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\ntwelve bytes",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n",
}

// TestTruncatedRequest guards against UNASKED: a request whose head or body is broken off is handled as a whole one.
func TestTruncatedRequest(t *testing.T) {
	convey.Convey("A request is handled only if it is complete, wherever the caller stops and closes", t, func() {
		var handled atomic.Int64
		h := func(ctx context.Context, r *http.Request, body []byte) pomelo.Reply {
			handled.Add(1)
			return echo(ctx, r, body)
		}
		s := start(t, h, pomelo.TrafficLimits{})
		for _, text := range truncatedRequests {
			for n := range len(text) {
				c, r := dial(s)
				_, _ = io.WriteString(c, text[:n])
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, r)
				_ = c.Close()
			}
		}
		convey.So(handled.Load(), convey.ShouldEqual, 0)
	})
}
