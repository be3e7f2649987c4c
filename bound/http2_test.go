package bound_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/bound"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/evict"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

// runTime is longer than stallTime, in which a body must make progress.
const (
	runTime   = 2 * time.Second
	stallTime = 500
)

func TestRequestsOfOneConnection(t *testing.T) {
	convey.Convey("Over HTTP/2 a body that makes no progress ends by itself, and a running request on its connection is answered", t, func() {
		certificates := httptest.NewUnstartedServer(nil)
		certificates.EnableHTTP2 = true
		certificates.StartTLS()
		defer certificates.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		k := clock.New()
		memory := budget.New(8 << 20)
		table := evict.New(k, logs.New(io.Discard), metric.New(), "test", maxConns)
		failed := make(chan error, 1)
		s := &http.Server{Handler: bound.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/stall":
				_, err := bound.ReadBody(r, 1<<20)
				failed <- err
				return
			case "/short":
				if _, err := bound.ReadBody(r, 1<<20); err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return
			}
			bound.Run(r.Context(), func() { time.Sleep(runTime) })
			_ = bound.Write(r.Context(), w, make([]byte, 200<<10))
		}))}
		bounded := bound.New(l, k, table, bound.WithBudget(memory), bound.WithStallTimeout(stallTime))
		go func() { _ = bound.Serve(s, tls.NewListener(bounded, certificates.TLS)) }()
		client := certificates.Client()
		url := "https://" + l.Addr().String()
		running := make(chan *http.Response, 1)
		go func() {
			resp, _ := client.Get(url + "/run")
			running <- resp
		}()
		time.Sleep(runTime / 4)
		body, unfinished := io.Pipe()
		go func() {
			if resp, err := client.Post(url+"/stall", "text/plain", body); err == nil {
				_ = resp.Body.Close()
			}
		}()
		_, _ = unfinished.Write([]byte("x"))
		for range 50 {
			resp, err := client.Post(url+"/short", "text/plain", bytes.NewReader(make([]byte, 100<<10)))
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
		}
		convey.So(memory.Used(), convey.ShouldBeLessThan, 1<<20)
		convey.So(<-failed, convey.ShouldNotBeNil)
		resp := <-running
		convey.So(resp, convey.ShouldNotBeNil)
		convey.So(resp.ProtoMajor, convey.ShouldEqual, 2)
		b, err := io.ReadAll(resp.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(b), convey.ShouldEqual, 200<<10)
		convey.So(table.Len(), convey.ShouldEqual, 1)
		_ = unfinished.Close()
		convey.So(s.Close(), convey.ShouldBeNil)
		for end := time.Now().Add(10 * time.Second); memory.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			continue
		}
		convey.So(memory.Used(), convey.ShouldEqual, 0)
	})
}
