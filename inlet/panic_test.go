package inlet_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestPanic(t *testing.T) {
	convey.Convey("A request whose handling panics gets 502 and the end of its connection, and the next one is served", t, func() {
		s := start(t, func(ctx context.Context, r *http.Request, body []byte) pomelo.Reply {
			if r.URL.Path == "/bad" {
				panic("unexpected")
			}
			return echo(ctx, r, body)
		}, pomelo.TrafficLimits{})
		for path, status := range map[string]int{"/bad": http.StatusBadGateway, "/good": http.StatusOK} {
			c, r := dial(s)
			_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, status)
			convey.So(resp.Close, convey.ShouldEqual, path == "/bad")
			_ = c.Close()
		}
		convey.So(endsPending(s), convey.ShouldBeTrue)
	})
}
