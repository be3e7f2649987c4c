package inlet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/inlet"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

// stallTime is longer than the time after which a stalled transfer may be ended for want of memory.
const stallTime = 1_500 * time.Millisecond

func startWith(t testing.TB, h inlet.Handler, opts ...func(*inlet.Server)) *inlet.Server {
	s := inlet.New(clock.New(), logs.New(io.Discard), metric.New(), h, func() pomelo.TrafficLimits { return pomelo.TrafficLimits{} }, opts...)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func TestEmptyLineBeforeRequest(t *testing.T) {
	convey.Convey("One empty line before a request is skipped, and a second one is refused", t, func() {
		s := start(t, echo, pomelo.TrafficLimits{})
		for sent, status := range map[string]int{
			"\r\n":     http.StatusOK,
			"\n":       http.StatusOK,
			"\r\n\r\n": http.StatusBadRequest,
		} {
			c, r := dial(s)
			for range 2 {
				_, _ = io.WriteString(c, sent+"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(r, nil)
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.StatusCode, convey.ShouldEqual, status)
				if status != http.StatusOK {
					break
				}
			}
			_ = c.Close()
		}
	})
	convey.Convey("An empty line after which nothing comes is no request: the connection closes without a reply", t, func() {
		s := start(t, echo, pomelo.TrafficLimits{HeadTimeout: 100})
		c, _ := dial(s)
		_, _ = io.WriteString(c, "\r\n")
		b, err := io.ReadAll(c)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(b), convey.ShouldBeBlank)
	})
}

func TestSmallChunks(t *testing.T) {
	convey.Convey("A body within the limit is served though it comes in chunks of a byte", t, func() {
		s := start(t, echo, pomelo.TrafficLimits{BodyBytes: 100_000, HeadBytes: 4_000})
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", 100_000)+"0\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
		convey.So(resp.ContentLength, convey.ShouldEqual, 100_000)
	})
}

func TestStalledTransfers(t *testing.T) {
	convey.Convey("A body that makes no progress is refused as not run, and one that makes progress is served", t, func() {
		s := startWith(t, echo, inlet.WithStallTimeout(1_500))
		c, r := dial(s)
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
		for range 4 {
			time.Sleep(700 * time.Millisecond)
			_, _ = io.WriteString(c, "x")
		}
		resp, err := http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
		_, _ = io.Copy(io.Discard, resp.Body)
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nxxx")
		resp, err = http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusRequestTimeout)
	})
	convey.Convey("A body that has stalled gives way to another one: it is refused as not run, behind the reply before it", t, func() {
		memory := budget.New(1<<20, budget.WithBodyLimit(1<<20))
		s := startWith(t, echo, inlet.WithBudget(memory))
		stalled, r := dial(s)
		_, _ = io.WriteString(stalled, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 700000\r\n\r\n"+strings.Repeat("x", 600_000))
		time.Sleep(stallTime)
		c, served := dial(s)
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 500_000))
		resp, err := http.ReadResponse(served, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			resp, err := http.ReadResponse(r, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, status)
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		_ = c.Close()
		_ = stalled.Close()
		convey.So(eventually(func() bool { return memory.Used() == 0 }), convey.ShouldBeTrue)
	})
	convey.Convey("A reply that nobody reads gives way to a request", t, func() {
		long := func(_ context.Context, r *http.Request, body []byte) pomelo.Reply {
			if r.URL.Path == "/long" {
				body = make([]byte, 4<<20)
			}
			return pomelo.Reply{Status: http.StatusOK, Header: http.Header{}, Body: body}
		}
		memory := budget.New(4 << 20)
		s := startWith(t, long, inlet.WithBudget(memory))
		unread, _ := dial(s)
		_, _ = io.WriteString(unread, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(stallTime)
		c, r := dial(s)
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 500_000))
		resp, err := http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
		_ = c.Close()
		convey.So(eventually(func() bool { return memory.Used() == 0 && s.Pending() == 0 }), convey.ShouldBeTrue)
		_ = unread.Close()
	})
}

func TestMaxConns(t *testing.T) {
	convey.Convey("A connection over the maximum takes the place of the one that has been idle longest, and not of one with a running request", t, func() {
		running := make(chan struct{})
		h := func(_ context.Context, r *http.Request, body []byte) pomelo.Reply {
			if r.URL.Path == "/wait" {
				<-running
			}
			return echo(context.Background(), r, body)
		}
		s := startWith(t, h, inlet.WithMaxConns(2))
		busy, r := dial(s)
		_, _ = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		for range 5 {
			idle, _ := dial(s)
			c, served := dial(s)
			_, _ = fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(served, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
			_, err = idle.Read(make([]byte, 1))
			convey.So(err, convey.ShouldNotBeNil)
			_ = c.Close()
		}
		close(running)
		resp, err := http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
		_ = busy.Close()
	})
}
