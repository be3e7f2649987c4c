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

// recordingGate is a gate that admits every call and records how the end of each was reported.
type recordingGate struct {
	complete []bool
}

func (n *recordingGate) Acquire(context.Context, pomelo.Call) (pomelo.Permit, error) { return n, nil }

func (n *recordingGate) SetCapacity(int, int) {}

func (n *recordingGate) ShedThreshold(string) float64 { return 0 }

func (n *recordingGate) Release(_ pomelo.Millis, complete bool) {
	n.complete = append(n.complete, complete)
}

func (n *recordingGate) SetWaiting(bool) {}

func TestGateIsTold(t *testing.T) {
	convey.Convey("A successful answer is reported to the gate as complete, a server error of the upstream as not complete", t, func() {
		up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/fails" {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		defer up.Close()
		c := clock.New()
		n := &recordingGate{}
		s := serve.New(c, config.New(mirror.New(), logs.New(&strings.Builder{})), n, ledger.New(c), metric.New())
		s.Announce(pomelo.Upstream{Service: "shop", Address: strings.TrimPrefix(up.URL, "http://"), Slots: 5})
		for _, path := range []string{"/works", "/fails"} {
			a := s.Handle(context.Background(), pomelo.Call{ID: path, Service: "shop", Method: http.MethodGet, Path: path, TimeLeft: 5000})
			convey.So(a.Refusal, convey.ShouldBeNil)
		}
		convey.So(n.complete, convey.ShouldResemble, []bool{true, false})
	})
}
