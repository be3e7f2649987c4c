package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// The fleet runs for settleTime before the measurement, which takes measureTime.
const (
	settleTime  = 8 * time.Second
	measureTime = 15 * time.Second
)

type gauges struct {
	Counters map[string]float64 `json:"counters"`
	Gauges   map[string]float64 `json:"gauges"`
}

type storeCounters struct {
	Get   int64 `json:"get"`
	List  int64 `json:"list"`
	Put   int64 `json:"put"`
	Renew int64 `json:"renew"`
	Watch int64 `json:"watch"`
}

func fetch(b *testing.B, url string, v any) {
	resp, err := http.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkIdleFleet measures the resources of one node without calls, in fleets of several sizes.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range []int{10, 40, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { idleFleet(b, n) })
	}
}

func idleFleet(b *testing.B, n int) {
	f := newTestFleet(b)
	for i := range n {
		f.node(fmt.Sprintf("vm-%d", i))
	}
	time.Sleep(settleTime)
	before := f.sample(b)
	time.Sleep(measureTime)
	after := f.sample(b)
	seconds := (after.up - before.up) / 1000
	b.ReportMetric(100*(after.processor-before.processor)/(after.up-before.up), "core-%/node")
	b.ReportMetric((after.peers-before.peers)/float64(n)/measureTime.Seconds(), "peer-B/s/node")
	b.ReportMetric((after.store-before.store)/float64(n)/measureTime.Seconds(), "store-B/s/node")
	b.ReportMetric(after.resident/float64(n)/(1<<20), "MiB/node")
	b.ReportMetric(after.connections/float64(n), "connections/node")
	b.ReportMetric(float64(after.calls.Watch-before.calls.Watch)/measureTime.Seconds(), "watches/s")
	b.ReportMetric(float64(after.calls.Get+after.calls.List-before.calls.Get-before.calls.List)/measureTime.Seconds(), "reads/s")
	b.ReportMetric(float64(after.calls.Renew-before.calls.Renew)/measureTime.Seconds(), "renewals/s")
	b.ReportMetric(float64(after.calls.Put-before.calls.Put)/measureTime.Seconds(), "writes/s")
	b.ReportMetric(seconds, "node-s")
	b.ReportMetric(0, "ns/op")
}

// fleetSample holds the sums of the metrics of all nodes, and the store's counters.
type fleetSample struct {
	up, processor, peers, store, resident, connections float64
	calls                                              storeCounters
}

func (f *testFleet) sample(b *testing.B) fleetSample {
	var sum fleetSample
	fetch(b, "http://"+f.store+"/counters", &sum.calls)
	for _, n := range f.nodes {
		var g gauges
		fetch(b, "http://"+n.admin+"/metrics", &g)
		sum.up += g.Gauges["process.up_ms"]
		sum.processor += g.Gauges["process.processor_ms"]
		sum.peers += g.Gauges["peers.bytes"]
		sum.connections += g.Gauges["peers.connections"]
		sum.resident += g.Gauges["process.resident_bytes"]
		sum.store += g.Counters["store.bytes"]
	}
	return sum
}
