package fakeup_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestHealth(t *testing.T) {
	cases := []struct {
		mode   pomelo.FakeHealthMode
		fault  pomelo.FakeFault
		status int
	}{
		{"", pomelo.FakeFault{}, 200},
		{"", pomelo.FakeFault{Refuse: true}, 503},
		{pomelo.FakeHealthAlwaysOK, pomelo.FakeFault{Refuse: true}, 200},
		{pomelo.FakeHealthAlwaysFail, pomelo.FakeFault{}, 503},
		{pomelo.FakeHealthLags, pomelo.FakeFault{Refuse: true}, 200},
	}
	convey.Convey("GET /health reports the true or a false status according to the spec's health mode", t, func() {
		for _, c := range cases {
			s, stop := start(pomelo.FakeUpstream{Service: "shop", HealthMode: c.mode, LoadReportLag: 3_600_000})
			s.SetFault(c.fault)
			a, err := http.Get("http://" + s.Addr() + "/health")
			convey.So(err, convey.ShouldBeNil)
			_ = a.Body.Close()
			convey.So(a.StatusCode, convey.ShouldEqual, c.status)
			convey.So(stop(), convey.ShouldBeNil)
		}
	})
}

func TestConnections(t *testing.T) {
	convey.Convey("A connection over the limit is closed at once", t, func() {
		s, stop := start(pomelo.FakeUpstream{Service: "shop", Connections: 1})
		first, err := net.Dial("tcp", s.Addr())
		convey.So(err, convey.ShouldBeNil)
		second, err := net.Dial("tcp", s.Addr())
		convey.So(err, convey.ShouldBeNil)
		_, err = second.Read(make([]byte, 1))
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(s.Counters().ConnectionsRefused, convey.ShouldEqual, 1)
		_ = first.Close()
		_ = second.Close()
		convey.So(stop(), convey.ShouldBeNil)
	})
}
