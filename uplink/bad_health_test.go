package uplink_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

// checkHealth returns the error of a health check that is answered with the text, after which end is called.
func checkHealth(t *testing.T, text string, end func(c net.Conn)) error {
	s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readID(r)
		_, _ = io.WriteString(c, text)
		end(c)
	})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := uplink.New(fakeDialect{}, clock.New(), metric.New()).CheckHealth(ctx, pomelo.Instance{ID: "i", Address: s.address}, "/health")
	return err
}

// TestBadHealth guards against a health check that takes a broken response for the state of its upstream.
func TestBadHealth(t *testing.T) {
	for name, text := range map[string]string{
		"a blank before a colon":       "HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length : 2\r\n\r\n",
		"a blank before a name":        "HTTP/1.1 200 OK\r\nX-Id: i\r\nX: y\r\n Content-Length: 2\r\n\r\n",
		"a control byte in its reason": "HTTP/1.1 200 O\x00K\r\nX-Id: i\r\nContent-Length: 0\r\n\r\n",
		"the status 000":               "HTTP/1.1 000 Trouble\r\nX-Id: i\r\nContent-Length: 0\r\n\r\n",
	} {
		convey.Convey("A response to a health check with "+name+" states nothing", t, func() {
			convey.So(checkHealth(t, text, func(net.Conn) {}), convey.ShouldNotBeNil)
		})
	}
	convey.Convey("A valid one states its upstream's health", t, func() {
		convey.So(checkHealth(t, "HTTP/1.1 200 OK\r\nX-Id: i\r\n\r\nhealthy", func(net.Conn) {}), convey.ShouldBeNil)
	})
}

// TestCutHealth guards against a health check that takes a response for the state of its upstream before its end was seen.
func TestCutHealth(t *testing.T) {
	endless := func(c net.Conn) {
		block := bytes.Repeat([]byte("x"), 64<<10)
		for err := error(nil); err == nil; {
			_, err = c.Write(block)
		}
	}
	resetLater := func(c net.Conn) { time.Sleep(settle); reset(c) }
	for name, r := range map[string]struct {
		text string
		end  func(net.Conn)
	}{
		"is cut":                 {"HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 20\r\n\r\nhealthy", func(net.Conn) {}},
		"is cut in a chunk":      {"HTTP/1.1 200 OK\r\nX-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhealthy\r\n", func(net.Conn) {}},
		"ends with a reset":      {"HTTP/1.1 200 OK\r\nX-Id: i\r\n\r\nhealthy", resetLater},
		"has no end":             {"HTTP/1.1 200 OK\r\nX-Id: i\r\n\r\n", endless},
		"has a head without end": {"HTTP/1.1 200 OK\r\nX-Id: i\r\nX: ", endless},
	} {
		convey.Convey("A response to a health check that "+name+" states nothing", t, func() {
			convey.So(checkHealth(t, r.text, r.end), convey.ShouldNotBeNil)
		})
	}
}
