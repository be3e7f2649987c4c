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

const patience = 5 * time.Second

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
	_ = c.SetDeadline(time.Now().Add(patience))
	return c, bufio.NewReader(c)
}

func echo(_ context.Context, r *http.Request, body []byte) pomelo.Reply {
	return pomelo.Reply{Status: http.StatusOK, Header: http.Header{"X-Path": {r.URL.Path}}, Body: body}
}

// refusals are what a caller may send that is no request, and the status that it gets.
var refusals = []struct {
	name, sent string
	status     int
}{
	{"no request line", "hello\r\n\r\n", http.StatusBadRequest},
	{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
	{"a length and chunks that disagree", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", http.StatusBadRequest},
	{"a head over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	{"a body over the limit", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", http.StatusRequestEntityTooLarge},
	{"half a head, and then nothing", "GET /a HTTP/1.1\r\nHo", http.StatusRequestTimeout},
}

func TestRefusals(t *testing.T) {
	limits := pomelo.TrafficLimits{HeadBytes: 4_000, BodyBytes: 4_000, HeadTimeout: 100, IdleTimeout: 1_000}
	for _, v := range refusals {
		convey.Convey("A caller that sends "+v.name+" is told so, and its connection is closed", t, func() {
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
	convey.Convey("Requests sent one behind the other run side by side and are answered in order", t, func() {
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
	convey.Convey("Bodies with a length and in chunks arrive whole, and the next request begins behind them", t, func() {
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
	convey.Convey("A caller's close cancels what runs for it", t, func() {
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
		case <-time.After(patience):
			convey.So("the request", convey.ShouldEqual, "cancelled")
		}
	})
}

func TestDrain(t *testing.T) {
	convey.Convey("While the node drains, each connection ends with its next answer, and what was sent behind it is not taken", t, func() {
		taken := make(chan string, 8)
		h := func(ctx context.Context, r *http.Request, body []byte) pomelo.Reply {
			taken <- r.URL.Path
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
		convey.So(<-taken, convey.ShouldEqual, "/a")
		_, _ = io.Copy(io.Discard, resp.Body)
		_, err = http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(len(taken), convey.ShouldEqual, 0)
	})
}

func TestAbort(t *testing.T) {
	convey.Convey("A request that is given up at the end of a stop still gets its answer", t, func() {
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

// FuzzRequests has any bytes sent to a connection; the server must stay able to answer others.
func FuzzRequests(f *testing.F) {
	for _, v := range refusals {
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
