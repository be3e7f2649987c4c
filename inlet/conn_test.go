package inlet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/inlet"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

const testTimeout = 5 * time.Second

func start(t testing.TB, h inlet.Handler, l pomelo.TrafficLimits) *inlet.Server {
	s := inlet.New(clock.New(), logs.New(io.Discard), metric.New(), h, func() pomelo.TrafficLimits { return l })
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func dial(s *inlet.Server) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.Address())
	convey.So(err, convey.ShouldBeNil)
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

func echo(_ context.Context, r *http.Request, body []byte) pomelo.Reply {
	return pomelo.Reply{Status: http.StatusOK, Header: http.Header{"X-Path": {r.URL.Path}}, Body: body}
}

// invalidRequests lists input that is not a valid request, and the status of the reply.
var invalidRequests = []struct {
	name, sent string
	status     int
}{
	{"no request line", "hello\r\n\r\n", http.StatusBadRequest},
	{"two Content-Length headers", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
	{"an unsupported transfer encoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", http.StatusBadRequest},
	{"a head over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	{"a body over the limit", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", http.StatusRequestEntityTooLarge},
	{"an incomplete head until the timeout", "GET /a HTTP/1.1\r\nHo", http.StatusRequestTimeout},
}

func TestRefusals(t *testing.T) {
	limits := pomelo.TrafficLimits{HeadBytes: 4_000, BodyBytes: 4_000, HeadTimeout: 100, IdleTimeout: 1_000}
	for _, v := range invalidRequests {
		convey.Convey("A caller that sends "+v.name+" gets the matching status, and its connection is closed", t, func() {
			s := start(t, echo, limits)
			c, r := dial(s)
			defer func() { _ = c.Close() }()
			_, err := io.WriteString(c, v.sent)
			convey.So(err, convey.ShouldBeNil)
			resp, err := http.ReadResponse(r, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, v.status)
			convey.So(resp.Close, convey.ShouldBeTrue)
		})
	}
}

func TestOrder(t *testing.T) {
	convey.Convey("Pipelined requests run concurrently and are answered in order", t, func() {
		release := make(chan struct{})
		h := func(ctx context.Context, r *http.Request, body []byte) pomelo.Reply {
			if r.URL.Path == "/0" {
				<-release
			} else if r.URL.Path == "/3" {
				close(release)
			}
			return echo(ctx, r, body)
		}
		s := start(t, h, pomelo.TrafficLimits{})
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		for i := range 4 {
			fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		}
		for i := range 4 {
			resp, err := http.ReadResponse(r, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.Header.Get("X-Path"), convey.ShouldEqual, fmt.Sprintf("/%d", i))
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	})
}

func TestBodies(t *testing.T) {
	convey.Convey("Chunked bodies and bodies with a length are read completely, and the next request starts after them", t, func() {
		s := start(t, echo, pomelo.TrafficLimits{})
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nfg")
		for _, want := range []string{"abcde", "fg"} {
			resp, err := http.ReadResponse(r, nil)
			convey.So(err, convey.ShouldBeNil)
			b, _ := io.ReadAll(resp.Body)
			convey.So(string(b), convey.ShouldEqual, want)
		}
	})
}

func TestLeaving(t *testing.T) {
	convey.Convey("A caller that closes its connection cancels its running requests", t, func() {
		canceled := make(chan struct{})
		h := func(ctx context.Context, _ *http.Request, _ []byte) pomelo.Reply {
			<-ctx.Done()
			close(canceled)
			return pomelo.Reply{Status: http.StatusGatewayTimeout}
		}
		s := start(t, h, pomelo.TrafficLimits{})
		c, _ := dial(s)
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
		select {
		case <-canceled:
		case <-time.After(testTimeout):
			convey.So("the request", convey.ShouldEqual, "cancelled")
		}
	})
}

func TestDrain(t *testing.T) {
	convey.Convey("While the node drains, each connection closes after its next reply, and later requests on it are not handled", t, func() {
		handled := make(chan string, 8)
		h := func(ctx context.Context, r *http.Request, body []byte) pomelo.Reply {
			handled <- r.URL.Path
			return echo(ctx, r, body)
		}
		s := start(t, h, pomelo.TrafficLimits{})
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		s.Drain()
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.Close, convey.ShouldBeTrue)
		convey.So(<-handled, convey.ShouldEqual, "/a")
		_, _ = io.Copy(io.Discard, resp.Body)
		_, err = http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(len(handled), convey.ShouldEqual, 0)
	})
}

func TestAbort(t *testing.T) {
	convey.Convey("A request that Abort cancels after a drain still gets its reply", t, func() {
		running := make(chan struct{})
		h := func(ctx context.Context, _ *http.Request, _ []byte) pomelo.Reply {
			close(running)
			<-ctx.Done()
			return pomelo.Reply{Status: http.StatusGatewayTimeout}
		}
		s := start(t, h, pomelo.TrafficLimits{})
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		<-running
		s.Drain()
		s.Close()
		s.Abort()
		resp, err := http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusGatewayTimeout)
		convey.So(resp.Close, convey.ShouldBeTrue)
	})
}

// FuzzRequests sends arbitrary bytes on one connection; the server must still answer requests on others.
func FuzzRequests(f *testing.F) {
	for _, v := range invalidRequests {
		f.Add([]byte(v.sent))
	}
	s := start(f, echo, pomelo.TrafficLimits{HeadBytes: 4_000, BodyBytes: 4_000, HeadTimeout: 50, IdleTimeout: 50})
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(b)
		_ = c.Close()
		resp, err := http.Get("http://" + s.Address() + "/alive")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal("the server no longer answers", err)
		}
		_ = resp.Body.Close()
	})
}
