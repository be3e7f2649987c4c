package mesh_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// drainTime is the time within which no new request reaches an upstream that has said that it leaves.
const drainTime = 2 * time.Second

// arrivalsDuring counts the requests that reach the upstream while every node sends for a second, and its heartbeats say that it is ready.
func (f *fleet) arrivalsDuring(m *member, name string, seq int) int64 {
	before := m.upstream.executions.Load()
	for i := range 20 {
		convey.So(m.heartbeat("ready", seq+i), convey.ShouldEqual, http.StatusOK)
		f.sendSteadily(fmt.Sprint(name, i), 20, 50*time.Millisecond)
	}
	return m.upstream.executions.Load() - before
}

func TestRequestsToLeavingUpstream(t *testing.T) {
	convey.Convey("An upstream whose responses say that it leaves gets no more requests, whatever its heartbeats say", t, func() {
		f := newFleet(t, 3)
		f.waitReady()
		a := f.nodes[0]
		a.upstream.leaving.Store(true)
		f.sendSteadily("told", 20, 500*time.Millisecond)
		time.Sleep(drainTime)
		convey.So(f.arrivalsDuring(a, "left", 1_000), convey.ShouldEqual, 0)
		status, _ := a.send("GET", "/a/x", "elsewhere", "")
		convey.So(status, convey.ShouldEqual, http.StatusOK)
	})
}
