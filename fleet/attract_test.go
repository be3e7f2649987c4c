package fleet_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fleet"
	"github.com/smartystreets/goconvey/convey"
)

const (
	failFastCallers          = 16
	failFastRequests         = 25
	failFastMinCompleteShare = 0.8
)

// TestFastFailureAttracts guards against an upstream that fails immediately attracting the calls that a healthy upstream, which takes longer, would complete.
func TestFastFailureAttracts(t *testing.T) {
	convey.Convey("Most requests are completed while one of two upstreams fails immediately", t, func() {
		r := faultCase{spec: pomelo.FakeUpstream{Routes: []pomelo.FakeRoute{{Path: "/history", ServiceTime: 20}}}}
		f := fleet.New(r.plan())
		convey.So(f.Start(context.Background()), convey.ShouldBeNil)
		f.Upstreams()[1].SetFault(pomelo.FakeFault{Down: true})
		var complete atomic.Int64
		var running sync.WaitGroup
		for c := range failFastCallers {
			running.Go(func() {
				for i := range failFastRequests {
					if request(f, http.MethodGet, "/history", longTimeout, c*failFastRequests+i).status == http.StatusOK {
						complete.Add(1)
					}
				}
			})
		}
		running.Wait()
		convey.So(f.Stop(context.Background()), convey.ShouldBeNil)
		convey.So(float64(complete.Load())/(failFastCallers*failFastRequests), convey.ShouldBeGreaterThan, failFastMinCompleteShare)
	})
}
