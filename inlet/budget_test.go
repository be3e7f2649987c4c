package inlet_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/inlet"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

func TestBodyMemory(t *testing.T) {
	convey.Convey("A body that the node has no memory for is refused as not run, with the time to come back", t, func() {
		bodies := budget.New(256 << 10)
		s := inlet.New(clock.New(), logs.New(io.Discard), metric.New(), echo, func() pomelo.TrafficLimits {
			return pomelo.TrafficLimits{BodyBytes: 1 << 20}
		}, inlet.WithBudget(bodies))
		convey.So(s.Start("127.0.0.1:0"), convey.ShouldBeNil)
		defer s.Close()
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		go func() {
			_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1_000_000))
		}()
		resp, err := http.ReadResponse(r, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(resp.Header.Get("Retry-After"), convey.ShouldEqual, "1")
		convey.So(bodies.Used(), convey.ShouldBeLessThanOrEqualTo, inlet.ConnBytes)
		_ = c.Close()
		convey.So(eventually(func() bool { return bodies.Used() == 0 }), convey.ShouldBeTrue)
	})
}
