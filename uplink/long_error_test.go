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

// maxReason is much less than a head, and enough for any error of ours, in bytes.
const maxReason = 512

// TestLongError guards against log lines and refusals that repeat what an upstream sent.
func TestLongError(t *testing.T) {
	long := strings.Repeat("\x00", 60_000)
	for name, text := range map[string]string{
		"a line that is no status line": long + "\r\n\r\n",
		"a long status":                 "HTTP/1.1 " + long + "\r\n\r\n",
		"a long version":                long + " 200 OK\r\n\r\n",
		"a long reason":                 "HTTP/1.1 200 " + long + "\r\nX-Id: 1\r\n\r\n",
		"a long name":                   "HTTP/1.1 200 OK\r\n" + long + ": 1\r\n\r\n",
		"a long name with a blank":      "HTTP/1.1 200 OK\r\nX " + strings.Repeat("y", 60_000) + ": 1\r\n\r\n",
		"a long value":                  "HTTP/1.1 200 OK\r\nX: " + long + "\r\n\r\n",
		"a long length":                 "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("9", 60_000) + "\r\n\r\n",
		"a long transfer encoding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", 60_000) + "\r\n\r\n",
	} {
		convey.Convey("A response with "+name+" is refused for a short reason", t, func() {
			s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readID(r)
				_, _ = io.WriteString(c, text)
			})
			a := do(uplink.New(fakeDialect{}, clock.New(), metric.New()), s, "1")
			convey.So(a.Refusal, convey.ShouldNotBeNil)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
			convey.So(len(a.Refusal.Message), convey.ShouldBeLessThan, maxReason)
		})
	}
}
