package bound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/bound"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/evict"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

const maxConns = 4

func TestListener(t *testing.T) {
	habits := map[string]string{
		"send nothing":       "",
		"send half a head":   "GET / HTTP/1.1\r\nHost: h\r\n",
		"stop in their body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx",
		"stay idle":          "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	}
	for name, text := range habits {
		convey.Convey("A server serves requests beside more clients than it takes connections, which "+name, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			k := clock.New()
			table := evict.New(k, logs.New(io.Discard), metric.New(), "test", maxConns)
			s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })}
			go func() { _ = bound.Serve(s, bound.New(l, k, table)) }()
			defer func() { _ = s.Close() }()
			for range 3 * maxConns {
				c, err := net.Dial("tcp", l.Addr().String())
				convey.So(err, convey.ShouldBeNil)
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, text)
			}
			c, err := net.Dial("tcp", l.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
			convey.So(table.Len(), convey.ShouldBeLessThanOrEqualTo, maxConns)
			_ = c.Close()
		})
	}
}
