package fleet_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/cutkv"
	"github.com/pomeloworks/pomelo/fleet"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/smartystreets/goconvey/convey"
)

// startWithServiceTime starts an entry node and two upstreams of the service shop with this service time.
func startWithServiceTime(serviceTime pomelo.Millis) *partitionedFleet {
	plan := pathPlan()
	plan.Services[1].Count = 2
	plan.Services[1].Upstream.ServiceTime = serviceTime
	plan.Routes = []pomelo.Route{{Name: "GET /orders", Service: "shop", NonIdempotent: true, Timeout: 8000}}
	c := &partitionedFleet{Fleet: fleet.New(plan), partition: cutkv.New()}
	convey.So(c.Start(context.Background()), convey.ShouldBeNil)
	convey.Reset(func() { _ = c.Stop(context.Background()) })
	return c
}

func (c *partitionedFleet) planStop(cancel bool) {
	w := pomelo.Command{StopVM: &pomelo.StopVM{VM: "shop-1", At: "now"}}
	if cancel {
		w = pomelo.Command{CancelStop: &pomelo.CancelStop{VM: "shop-1"}}
	}
	_, err := change.New(kvhttp.New(c.StoreURL()), change.WithClock(clock.New())).Run(context.Background(), w)
	convey.So(err, convey.ShouldBeNil)
}

// runUnderLoad sends requests from 8 callers while f runs and returns the statuses other than 200.
func (c *partitionedFleet) runUnderLoad(f func()) []int {
	var mu sync.Mutex
	var failures []int
	var callers sync.WaitGroup
	done := make(chan struct{})
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if s, _ := c.get("/orders"); s != http.StatusOK {
					mu.Lock()
					failures = append(failures, s)
					mu.Unlock()
				}
			}
		})
	}
	f()
	close(done)
	callers.Wait()
	return failures
}

func (c *partitionedFleet) get(path string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, c.Targets()[0]+path, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set(pomelo.HeaderKey, c.Secret("growers"))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, ""
}

// isDraining reports whether the entry node no longer lists shop-1 as serving.
func (c *partitionedFleet) isDraining() bool {
	for _, m := range c.Nodes()[0].Members().Serving("shop") {
		if m.VM == "shop-1" {
			return false
		}
	}
	return true
}

func TestPlannedStop(t *testing.T) {
	convey.Convey("Given load on two upstreams of a service", t, func() {
		c := startWithServiceTime(5)
		draining := c.Nodes()[1]
		convey.Convey("a planned stop fails no request, even if the store goes down once the stop is known", func() {
			failures := c.runUnderLoad(func() {
				c.planStop(false)
				convey.So(eventually(c.isDraining), convey.ShouldBeTrue)
				c.Store().SetFault(pomelo.StoreFault{Down: true, DropWatches: true})
				<-draining.Done()
			})
			convey.So(failures, convey.ShouldBeEmpty)
			convey.So(c.Upstreams()[1].Counters().Running, convey.ShouldEqual, 0)
			c.Store().SetFault(pomelo.StoreFault{})
		})
	})
	convey.Convey("Given calls with a long service time", t, func() {
		c := startWithServiceTime(1500)
		convey.Convey("a stop that is canceled while calls run fails no request, and the upstream gets calls again", func() {
			failures := c.runUnderLoad(func() {
				convey.So(eventually(func() bool { return c.Upstreams()[1].Counters().Running > 0 }), convey.ShouldBeTrue)
				c.planStop(false)
				convey.So(eventually(c.isDraining), convey.ShouldBeTrue)
				c.planStop(true)
				convey.So(eventually(func() bool { return !c.isDraining() }), convey.ShouldBeTrue)
				before := c.Upstreams()[1].Counters().Started
				convey.So(eventually(func() bool { return c.Upstreams()[1].Counters().Started > before }), convey.ShouldBeTrue)
			})
			convey.So(failures, convey.ShouldBeEmpty)
		})
	})
}
