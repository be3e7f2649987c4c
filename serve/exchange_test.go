package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fixed"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/serve"
	"github.com/smartystreets/goconvey/convey"
)

// scriptedUpstream is an upstream that runs a script for each connection.
type scriptedUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	seen     []string
}

func newScriptedUpstream(script func(u *scriptedUpstream, n int, c net.Conn)) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	u := &scriptedUpstream{listener: l}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(u, n, c)
			}()
		}
	}()
	return u
}

// request reads one request and records its call id.
func (u *scriptedUpstream) request(c net.Conn) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = append(u.seen, r.Header.Get(pomelo.FakeHeaderCallID))
	return r
}

func (u *scriptedUpstream) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, s := range u.seen {
		if s == id {
			n++
		}
	}
	return n
}

type noConfig struct{ pomelo.Configuration }

func newServer(address string, opts ...func(*serve.Server)) *serve.Server {
	c := clock.New()
	opts = append(opts, serve.WithBodyLimit(64))
	s := serve.New(c, noConfig{}, fixed.New(c), ledger.New(c), metric.New(), opts...)
	s.Announce(pomelo.Upstream{Service: "shop", Address: address, Slots: 8, Connections: 8})
	return s
}

func order(id string) pomelo.Call {
	return pomelo.Call{
		ID: id, RootID: id, Service: "shop", Method: http.MethodPost, Path: "/orders", TimeLeft: 5000,
		NonIdempotent: true, Header: http.Header{pomelo.HeaderIdempotency: {"k-" + id}},
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestExchangeRan(t *testing.T) {
	noResponse := func(u *scriptedUpstream, _ int, c net.Conn) {
		u.request(c)
		_, _ = c.Read(make([]byte, 1))
	}
	cases := []struct {
		name     string
		script   func(u *scriptedUpstream, n int, c net.Conn)
		timeLeft pomelo.Millis
		kind     pomelo.Kind
		ran      pomelo.Ran
	}{
		{"nothing listens", nil, 5000, pomelo.KindNoUpstream, pomelo.RanNo},
		{"the connection closes after the request", func(u *scriptedUpstream, _ int, c net.Conn) { u.request(c) }, 5000, pomelo.KindUpstreamFailed, pomelo.RanUnknown},
		{"no answer within the deadline", noResponse, 50, pomelo.KindDeadline, pomelo.RanUnknown},
		{"the response ends early", func(u *scriptedUpstream, _ int, c net.Conn) {
			u.request(c)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		}, 5000, pomelo.KindUpstreamFailed, pomelo.RanYes},
		{"the response is over the size limit", func(u *scriptedUpstream, _ int, c net.Conn) {
			u.request(c)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n%s", strings.Repeat("x", 65))
		}, 5000, pomelo.KindUpstreamFailed, pomelo.RanYes},
		{"the response belongs to another call", func(u *scriptedUpstream, _ int, c net.Conn) {
			u.request(c)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nPomelo-Call-Id: other\r\n\r\n")
		}, 5000, pomelo.KindUpstreamFailed, pomelo.RanUnknown},
	}
	convey.Convey("A refusal says whether the call ran", t, func() {
		for _, e := range cases {
			convey.Convey("when "+e.name, func() {
				u := newScriptedUpstream(e.script)
				defer func() { _ = u.listener.Close() }()
				if e.script == nil {
					_ = u.listener.Close()
				}
				call := order("1")
				call.TimeLeft = e.timeLeft
				a := newServer(u.listener.Addr().String()).Handle(context.Background(), call)
				convey.So(a.Refusal, convey.ShouldNotBeNil)
				convey.So(a.Refusal.Kind, convey.ShouldEqual, e.kind)
				convey.So(a.Refusal.Ran, convey.ShouldEqual, e.ran)
			})
		}
		convey.Convey("when it was cancelled before a connection was made", func() {
			u := newScriptedUpstream(noResponse)
			defer func() { _ = u.listener.Close() }()
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			a := newServer(u.listener.Addr().String()).Handle(ctx, order("1"))
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(u.count("1"), convey.ShouldEqual, 0)
		})
	})
}

func TestExchangeNeverResends(t *testing.T) {
	convey.Convey("Given an upstream that closes a used connection while the next request arrives", t, func() {
		u := newScriptedUpstream(func(u *scriptedUpstream, n int, c net.Conn) {
			u.request(c)
			_, _ = fmt.Fprint(c, completeResponse)
			if n == 0 {
				u.request(c)
				return
			}
			_, _ = c.Read(make([]byte, 1))
		})
		defer func() { _ = u.listener.Close() }()
		s := newServer(u.listener.Addr().String())
		for _, body := range []string{"", "body"} {
			convey.Convey(fmt.Sprintf("a non-idempotent call with an idempotency key and body %q is not sent again", body), func() {
				convey.So(s.Handle(context.Background(), order("first")).Refusal, convey.ShouldBeNil)
				// net/http returns the connection to its pool shortly after the end of the response.
				time.Sleep(20 * time.Millisecond)
				call := order("second")
				call.Body = []byte(body)
				a := s.Handle(context.Background(), call)
				convey.So(u.count("second"), convey.ShouldEqual, 1)
				convey.So(a.Refusal, convey.ShouldNotBeNil)
				convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			})
		}
	})
}
