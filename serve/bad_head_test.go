package serve_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/membuf"
	"github.com/pomeloworks/pomelo/serve"
	"github.com/smartystreets/goconvey/convey"
)

func TestBadHead(t *testing.T) {
	for name, text := range map[string]string{
		"the status 000":                 "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"the status 000 and no body":     "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
		"the status 600":                 "HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"a blank in the name of a field": "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n",
		"a blank before a colon":         "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"a control byte in its reason":   "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
		"a switch of protocols":          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
	} {
		convey.Convey("A response with "+name+" is no answer, and its connection is not used again", t, func() {
			var conns atomic.Int64
			u := newScriptedUpstream(func(u *scriptedUpstream, _ int, c net.Conn) {
				conns.Add(1)
				for u.request(c) != nil {
					_, _ = fmt.Fprint(c, text)
				}
			})
			defer func() { _ = u.listener.Close() }()
			log := &membuf.Buffer{}
			s := newServer(u.listener.Addr().String(), serve.WithLog(logs.New(log)))
			for n := range 2 {
				a := s.Handle(context.Background(), order(fmt.Sprint(n)))
				convey.So(a.Refusal, convey.ShouldNotBeNil)
				convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
				convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
				convey.So(conns.Load(), convey.ShouldEqual, n+1)
				convey.So(log.String(), convey.ShouldContainSubstring, fmt.Sprintf("event=call_failed call=%d ", n))
				convey.So(log.String(), convey.ShouldContainSubstring, "invalid response: the response")
			}
		})
	}
}

func TestLongError(t *testing.T) {
	convey.Convey("A response whose head is one long invalid line is refused for a short reason", t, func() {
		u := newScriptedUpstream(func(u *scriptedUpstream, _ int, c net.Conn) {
			u.request(c)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("\x00", 60_000)+": 1\r\n\r\n")
		})
		defer func() { _ = u.listener.Close() }()
		a := newServer(u.listener.Addr().String()).Handle(context.Background(), order("1"))
		convey.So(a.Refusal, convey.ShouldNotBeNil)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		convey.So(len(a.Refusal.Message), convey.ShouldBeLessThan, 512)
	})
}
