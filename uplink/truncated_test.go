package uplink_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

// truncated are responses that an upstream may break off, and the bytes at their end that are not needed.
var truncated = []struct {
	name, text string
	spare      int
}{
	{"with a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", 0},
	{"with its length first", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\r\nok", 0},
	{"with a length of several digits", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\ntwelve bytes", 0},
	{"in chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0},
	{"in chunks with a trailer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n", 0},
	{"after an interim response", "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", 0},
	{"without a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", 2},
	{"with line feeds only", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok", 0},
	{"without a body", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\r\n", 0},
	{"that states it has not run the call", "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Not-Run: 1\r\n\r\n", 0},
}

// TestTruncatedResponse guards against MIXED and ORDER: a response whose head or body is broken off is passed on as a whole one.
func TestTruncatedResponse(t *testing.T) {
	for _, tc := range truncated {
		convey.Convey("A response "+tc.name+" is an answer only if it is complete, wherever the upstream stops and closes", t, func() {
			for n := range len(tc.text) - tc.spare {
				s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
					readID(r)
					_, _ = io.WriteString(c, tc.text[:n])
				})
				cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
				a := do(cl, s, "1")
				if a.Refusal == nil || a.Refusal.Ran != pomelo.RanUnknown || a.Refusal.Kind != pomelo.KindUpstreamFailed {
					convey.So(strings.ReplaceAll(tc.text[:n], "\r\n", "|"), convey.ShouldEqual, "not an answer")
				}
			}
			convey.So(len(tc.text), convey.ShouldBeGreaterThan, 0)
		})
	}
}
