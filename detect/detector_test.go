package detect_test

import (
	"context"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/detect"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/membuf"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

func TestDetector(t *testing.T) {
	upstream := pomelo.Instance{ID: "i-1", Address: "a", StartedAt: 7}
	run := func(refused bool, calls ...pomelo.Call) []pomelo.Crash {
		k := clock.New(clock.WithManual(1_000))
		crashes := make(chan pomelo.Crash, 8)
		checked := make(chan struct{}, 8)
		isRefused := func(context.Context, string) bool {
			defer func() { checked <- struct{}{} }()
			return refused
		}
		d := detect.New(k, logs.New(&membuf.Buffer{}), metric.New(), "vm-1", isRefused, detect.WithOnCrash(func(c pomelo.Crash) { crashes <- c }))
		for _, c := range calls {
			d.BrokeOff(upstream, c)
		}
		for k.Sleepers() == 0 {
			time.Sleep(time.Millisecond)
		}
		k.Advance(1_000)
		<-checked
		var out []pomelo.Crash
		select {
		case c := <-crashes:
			out = append(out, c)
		case <-time.After(100 * time.Millisecond):
		}
		return out
	}
	a, b := pomelo.Call{ID: "1", Path: "/a"}, pomelo.Call{ID: "2", Path: "/b"}
	repeated := pomelo.Call{ID: "3", Path: "/a"}
	convey.Convey("Calls that break off together at an upstream that refuses connections are the suspects of one crash", t, func() {
		crashes := run(true, a, b, repeated)
		convey.So(crashes, convey.ShouldResemble, []pomelo.Crash{{VM: "vm-1", UpstreamID: "i-1", StartedAt: 7, Suspects: []pomelo.Fingerprint{a.Fingerprint(), b.Fingerprint()}}})
	})
	convey.Convey("Calls that break off at an upstream that accepts connections are no crash", t, func() {
		convey.So(run(false, a), convey.ShouldBeEmpty)
	})
	convey.Convey("Calls differ in their fingerprints by each of method, host, path, account and body", t, func() {
		seen := map[pomelo.Fingerprint]bool{}
		for _, c := range []pomelo.Call{{}, {Method: "x"}, {Host: "x"}, {Path: "x"}, {Account: "x"}, {Body: []byte("x")}} {
			seen[c.Fingerprint()] = true
		}
		convey.So(seen, convey.ShouldHaveLength, 6)
		convey.So(a.Fingerprint(), convey.ShouldEqual, repeated.Fingerprint())
	})
}
