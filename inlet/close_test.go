package inlet_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/inlet"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

// closeRepeats and closePause bring Close about once the first request is no longer in flight.
const (
	closeRepeats = 20
	closePause   = 5 * time.Millisecond
)

func TestRequestReadDuringClose(t *testing.T) {
	convey.Convey("A request that has arrived on an idle connection while the server closes it is answered, and closes it", t, func() {
		answered := make(chan struct{})
		var s *inlet.Server
		reads := 0
		// The limits are read before each request.
		limits := func() pomelo.TrafficLimits {
			if reads++; reads == 2 {
				<-answered
				for range closeRepeats {
					s.Close()
					time.Sleep(closePause)
				}
			}
			return pomelo.TrafficLimits{}
		}
		s = inlet.New(clock.New(), logs.New(io.Discard), metric.New(), echo, limits)
		convey.So(s.Start("127.0.0.1:0"), convey.ShouldBeNil)
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
		for _, path := range []string{"/a", "/b"} {
			resp, err := http.ReadResponse(r, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.Header.Get("X-Path"), convey.ShouldEqual, path)
			_, _ = io.Copy(io.Discard, resp.Body)
			if path == "/a" {
				convey.So(resp.Close, convey.ShouldBeFalse)
				close(answered)
				continue
			}
			convey.So(resp.Close, convey.ShouldBeTrue)
		}
	})
	convey.Convey("An idle connection that is closed before its next request arrives ends at once", t, func() {
		var s *inlet.Server
		limits := func() pomelo.TrafficLimits {
			s.Close()
			return pomelo.TrafficLimits{IdleTimeout: pomelo.MillisOf(2 * testTimeout)}
		}
		s = inlet.New(clock.New(), logs.New(io.Discard), metric.New(), echo, limits)
		convey.So(s.Start("127.0.0.1:0"), convey.ShouldBeNil)
		c, r := dial(s)
		defer func() { _ = c.Close() }()
		_, err := r.ReadByte()
		convey.So(err, convey.ShouldEqual, io.EOF)
	})
}
