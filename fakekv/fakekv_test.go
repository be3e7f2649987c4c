package fakekv_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/smartystreets/goconvey/convey"
)

func call(s *fakekv.Server, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, strings.TrimSpace(w.Body.String())
}

func TestProtocol(t *testing.T) {
	convey.Convey("A lease expires by the clock, and every call is counted", t, func() {
		c := clock.New(clock.WithManual(0))
		s := fakekv.New(fakekv.WithClock(c))
		_, body := call(s, "POST", "/lease", `{"ttl_ms":100}`)
		convey.So(body, convey.ShouldEqual, `{"lease":1}`)
		_, body = call(s, "POST", "/record", `{"key":"a","value":"eA==","lease":1}`)
		convey.So(body, convey.ShouldEqual, `{"key":"a","value":"eA==","revision":1,"lease":1}`)
		c.Advance(99)
		code, _ := call(s, "GET", "/record?key=a", "")
		convey.So(code, convey.ShouldEqual, http.StatusOK)
		c.Advance(1)
		code, _ = call(s, "GET", "/record?key=a", "")
		convey.So(code, convey.ShouldEqual, http.StatusNotFound)
		_, body = call(s, "GET", "/watch?since=1&wait_ms=0", "")
		convey.So(body, convey.ShouldEqual, `{"records":[{"key":"a","revision":2,"deleted":true}],"revision":2}`)
		_, body = call(s, "GET", "/counters", "")
		convey.So(body, convey.ShouldEqual, `{"get":2,"list":0,"put":1,"grant":1,"renew":0,"revoke":0,"watch":1,"total":5}`)
	})
}
