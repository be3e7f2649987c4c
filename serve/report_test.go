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

// notes is a gate that lets all in and notes what it is told of each call's end.
type notes struct {
	whole []bool
}

func (n *notes) Acquire(context.Context, pomelo.Call) (pomelo.Permit, error) { return n, nil }

func (n *notes) SetCapacity(int, int) {}

func (n *notes) ShedThreshold(string) float64 { return 0 }

func (n *notes) Release(_ pomelo.Millis, whole bool) { n.whole = append(n.whole, whole) }
func (n *notes) SetWaiting(bool)                     {}

func TestGateIsTold(t *testing.T) {
	convey.Convey("The gate is told of a whole answer as whole, and of an upstream's failure as not", t, func() {
		up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/fails" {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		defer up.Close()
		c := clock.New()
		n := &notes{}
		s := serve.New(c, config.New(mirror.New(), logs.New(&strings.Builder{})), n, ledger.New(c), metric.New())
		s.Announce(pomelo.Upstream{Service: "shop", Address: strings.TrimPrefix(up.URL, "http://"), Slots: 5})
		for _, path := range []string{"/works", "/fails"} {
			a := s.Handle(context.Background(), pomelo.Call{ID: path, Service: "shop", Method: http.MethodGet, Path: path, TimeLeft: 5000})
			convey.So(a.Refusal, convey.ShouldBeNil)
		}
		convey.So(n.whole, convey.ShouldResemble, []bool{true, false})
	})
}
