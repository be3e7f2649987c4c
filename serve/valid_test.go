package serve_test

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestBadCalls(t *testing.T) {
	var dispatched atomic.Int64
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { dispatched.Add(1) }))
	defer up.Close()
	s := newServer(strings.TrimPrefix(up.URL, "http://"))
	cases := []struct {
		name   string
		change func(*pomelo.Call)
		kind   pomelo.Kind
	}{
		{"an importance over 9", func(c *pomelo.Call) { c.Importance = 10 }, pomelo.KindBadRequest},
		{"a negative importance", func(c *pomelo.Call) { c.Importance = -1 }, pomelo.KindBadRequest},
		{"a negative time left", func(c *pomelo.Call) { c.TimeLeft = -5 }, pomelo.KindBadRequest},
		{"a time left that would overflow the deadline", func(c *pomelo.Call) { c.TimeLeft = math.MaxInt64 }, pomelo.KindBadRequest},
		{"no time left", func(c *pomelo.Call) { c.TimeLeft = 0 }, pomelo.KindDeadline},
		{"negative retries", func(c *pomelo.Call) { c.RetriesLeft = -1 }, pomelo.KindBadRequest},
		{"too many retries", func(c *pomelo.Call) { c.RetriesLeft = math.MaxInt }, pomelo.KindBadRequest},
		{"a depth over the limit", func(c *pomelo.Call) { c.Depth = 65 }, pomelo.KindBadRequest},
		{"another service", func(c *pomelo.Call) { c.Service = "history" }, pomelo.KindNoUpstream},
		{"an invalid method", func(c *pomelo.Call) { c.Method = "NO METHOD" }, pomelo.KindBadRequest},
	}
	convey.Convey("An invalid call is refused as not run, with a remedy, and nothing is dispatched", t, func() {
		for _, e := range cases {
			convey.Convey(e.name, func() {
				c := order("1")
				e.change(&c)
				a := s.Handle(context.Background(), c)
				convey.So(a.Refusal, convey.ShouldNotBeNil)
				convey.So(a.Refusal.Kind, convey.ShouldEqual, e.kind)
				convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
				convey.So(a.Refusal.Remedy, convey.ShouldNotBeEmpty)
				convey.So(dispatched.Load(), convey.ShouldEqual, 0)
			})
		}
	})
}
