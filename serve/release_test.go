package serve_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/config"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/pomeloworks/pomelo/serve"
	"github.com/smartystreets/goconvey/convey"
)

// recordingLimiter is a concurrency limiter that admits every call and records whether it was released as complete.
type recordingLimiter struct {
	complete []bool
}

func (l *recordingLimiter) Acquire(context.Context, pomelo.Call) (pomelo.Permit, error) {
	return l, nil
}

func (l *recordingLimiter) SetCapacity(int, int) {}

func (l *recordingLimiter) ShedThreshold(string) float64 { return 0 }

func (l *recordingLimiter) Release(_ pomelo.Millis, complete bool) {
	l.complete = append(l.complete, complete)
}

func (l *recordingLimiter) SetWaiting(bool) {}

func TestGateIsTold(t *testing.T) {
	convey.Convey("A successful answer is reported to the concurrency limiter as complete, a server error of the upstream as not complete", t, func() {
		up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/fails" {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		defer up.Close()
		c := clock.New()
		l := &recordingLimiter{}
		s := serve.New(c, config.New(mirror.New(), logs.New(&strings.Builder{})), l, ledger.New(c), metric.New())
		s.Announce(pomelo.Upstream{Service: "shop", Address: strings.TrimPrefix(up.URL, "http://"), Slots: 5})
		for _, path := range []string{"/works", "/fails"} {
			a := s.Handle(context.Background(), pomelo.Call{ID: path, Service: "shop", Method: http.MethodGet, Path: path, TimeLeft: 5000})
			convey.So(a.Refusal, convey.ShouldBeNil)
		}
		convey.So(l.complete, convey.ShouldResemble, []bool{true, false})
	})
}
