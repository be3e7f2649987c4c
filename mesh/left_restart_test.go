package mesh_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/smartystreets/goconvey/convey"
)

// stableTime is the time without a disturbance after which a node is in touch, so that it may send nothing to an upstream that has left.
const stableTime = 3 * time.Second

func (f *fleet) setStoreFault(x fake.Fault) {
	for i := range f.nodes {
		f.store.SetFault(strconv.Itoa(i), x)
	}
}

// TestLeftUpstreamAfterRestart guards against DRAIN: a restarted node uses an upstream again whose acknowledged leaving its record does not say.
func TestLeftUpstreamAfterRestart(t *testing.T) {
	away := fake.Fault{Status: http.StatusServiceUnavailable}
	cases := []struct {
		name string
		play func(f *fleet, a *member)
	}{
		{"leaves while the store is away, before all nodes are killed", func(f *fleet, a *member) {
			f.setStoreFault(away)
			a.deregister()
			for _, m := range f.nodes {
				f.restart(m)
			}
		}},
		{"leaves while the store is away, after its node was killed", func(f *fleet, a *member) {
			f.setStoreFault(away)
			f.restart(a)
			a.deregister()
		}},
		{"leaves after its node was killed, and an earlier heartbeat arrives late", func(f *fleet, a *member) {
			f.setStoreFault(away)
			f.restart(a)
			a.deregister()
			convey.So(a.heartbeat("ready", 1_000), convey.ShouldEqual, http.StatusOK)
		}},
		{"leaves before the store returns from an older copy, while its node is killed", func(f *fleet, a *member) {
			older := f.store.Backup()
			a.deregister()
			convey.So(eventually(func() bool { return len(f.nodes[1].node.Members().Serving("shop")) == 1 }), convey.ShouldBeTrue)
			f.setStoreFault(away)
			f.restart(a)
			f.store.Restore(older)
		}},
		{"reports that it drains while the store is away, and stops its heartbeats before its node is killed", func(f *fleet, a *member) {
			f.setStoreFault(away)
			// Only what the store holds is acknowledged.
			convey.So(a.heartbeat("draining", 1_000), convey.ShouldEqual, http.StatusServiceUnavailable)
			f.restart(a)
		}},
	}
	for _, tc := range cases {
		convey.Convey("An upstream that "+tc.name+", gets no request once the nodes are in touch, and the other one serves", t, func() {
			f := newFleet(t, 2)
			f.waitReady()
			a, b := f.nodes[0], f.nodes[1]
			tc.play(f, a)
			time.Sleep(200 * time.Millisecond)
			f.setStoreFault(fake.Fault{})
			served := 0
			from := time.Now().Add(stableTime)
			for n := 0; time.Now().Before(from.Add(time.Second)); n++ {
				if n%20 == 0 {
					_ = b.heartbeat("ready", 1_000+n)
				}
				status, _ := f.nodes[n%2].send("POST", "/b/x", fmt.Sprint("o", n), "order")
				if status == http.StatusOK && time.Now().After(from) {
					served++
				}
				time.Sleep(10 * time.Millisecond)
			}
			convey.So(a.upstream.arrivals.most(from, time.Now(), time.Second), convey.ShouldEqual, 0)
			convey.So(served, convey.ShouldBeGreaterThan, 0)
		})
	}
}

// TestUpstreamInUseAfterRestart guards against an interruption: a restarted node waits for a heartbeat although its record is current.
func TestUpstreamInUseAfterRestart(t *testing.T) {
	convey.Convey("A restarted node uses the upstream of its record at once, and goes on once it sends heartbeats", t, func() {
		f := newFleet(t, 1)
		f.waitReady()
		a := f.nodes[0]
		f.restart(a)
		convey.So(eventually(a.node.Ready), convey.ShouldBeTrue)
		isServed := func() bool { s, _ := a.send("POST", "/b/x", "first", "order"); return s == http.StatusOK }
		convey.So(eventually(isServed), convey.ShouldBeTrue)
		convey.So(a.heartbeat("ready", 1_000), convey.ShouldEqual, http.StatusOK)
		time.Sleep(stableTime)
		convey.So(isServed(), convey.ShouldBeTrue)
	})
}

// TestLateHeartbeatAfterRestart guards against an upstream that stays out of use because its heartbeats are late after a restart of its node.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	convey.Convey("An upstream that was out of use for want of a heartbeat is used again with its next one", t, func() {
		f := newFleet(t, 1)
		f.waitReady()
		a := f.nodes[0]
		f.restart(a)
		convey.So(eventually(a.node.Ready), convey.ShouldBeTrue)
		time.Sleep(stableTime)
		isServed := func() bool { s, _ := a.send("POST", "/b/x", "late", "order"); return s == http.StatusOK }
		convey.So(isServed(), convey.ShouldBeFalse)
		convey.So(eventually(func() bool { return strings.Contains(a.log.String(), "event=upstream_unconfirmed ") }), convey.ShouldBeTrue)
		convey.So(a.heartbeat("ready", 1_000), convey.ShouldEqual, http.StatusOK)
		convey.So(isServed(), convey.ShouldBeTrue)
	})
}
