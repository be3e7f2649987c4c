package fleet_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fleet"
)

// pathPlan has an entry node and a serving node, whose upstream responds immediately.
func pathPlan() pomelo.FleetPlan {
	limits := pomelo.DefaultLimits()
	return pomelo.FleetPlan{
		Services: []pomelo.FleetService{
			{Upstream: pomelo.FakeUpstream{Service: "front", Slots: 50, Connections: 200}, Count: 1, Zones: []string{"a"}},
			{Upstream: pomelo.FakeUpstream{Service: "shop", Slots: 50, Connections: 200}, Count: 1, Zones: []string{"a"}},
		},
		Accounts: []pomelo.ClientAccount{{Name: "growers", Rate: 1e6, Burst: 1e6}},
		Routes:   []pomelo.Route{{Name: "POST /orders", Service: "shop", Importance: 5, Timeout: 5000}},
		Limits:   limits,
	}
}

// BenchmarkPath compares direct calls with calls through two nodes; one caller sends them sequentially.
func BenchmarkPath(b *testing.B) {
	f := fleet.New(pathPlan())
	if err := f.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Stop(context.Background()) }()
	b.Run("direct", func(b *testing.B) { measure(b, "http://"+f.Upstreams()[1].Addr()+"/orders", "") })
	b.Run("through", func(b *testing.B) { measure(b, f.Targets()[0]+"/orders", f.Secret("growers")) })
}

func measure(b *testing.B, url, secret string) {
	h := hdrhistogram.New(1, 10_000_000, 3)
	before := processorTime()
	for b.Loop() {
		start := time.Now()
		call(b, url, secret)
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-us/call")
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
}

func call(b *testing.B, url, secret string) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set(pomelo.HeaderKey, secret)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, err)
	}
}

// processorTime returns the process's user and system CPU time in microseconds.
func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}
