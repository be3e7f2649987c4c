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

// startStop has two upstreams of the shop behind the entry's node.
func startStop(serviceTime pomelo.Millis) *cutFleet {
	plan := pathPlan()
	plan.Services[1].Count = 2
	plan.Services[1].Upstream.ServiceTime = serviceTime
	plan.Routes = []pomelo.Route{{Name: "GET /orders", Service: "shop", NonIdempotent: true, Timeout: 8000}}
	c := &cutFleet{Fleet: fleet.New(plan), cut: cutkv.New()}
	convey.So(c.Start(context.Background()), convey.ShouldBeNil)
	convey.Reset(func() { _ = c.Stop(context.Background()) })
	return c
}

func (c *cutFleet) plan(withdrawn bool) {
	w := pomelo.Command{StopVM: &pomelo.StopVM{VM: "shop-1", At: "now"}}
	if withdrawn {
		w = pomelo.Command{CancelStop: &pomelo.CancelStop{VM: "shop-1"}}
	}
	_, err := change.New(kvhttp.New(c.StoreURL()), change.WithClock(clock.New())).Run(context.Background(), w)
	convey.So(err, convey.ShouldBeNil)
}

// load sends requests from a few callers while f runs and returns the statuses other than 200.
func (c *cutFleet) load(f func()) []int {
	var mu sync.Mutex
	var other []int
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
					other = append(other, s)
					mu.Unlock()
				}
			}
		})
	}
	f()
	close(done)
	callers.Wait()
	return other
}

func (c *cutFleet) get(path string) (int, string) {
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

// draining reports whether the entry's node sends nothing to shop-1 any more.
func (c *cutFleet) draining() bool {
	for _, m := range c.Nodes()[0].Members().Serving("shop") {
		if m.VM == "shop-1" {
			return false
		}
	}
	return true
}

func TestPlannedStop(t *testing.T) {
	convey.Convey("Given load on two upstreams of a service", t, func() {
		c := startStop(5)
		leaving := c.Nodes()[1]
		convey.Convey("a planned stop cuts no request, though the store goes down once it is known", func() {
			other := c.load(func() {
				c.plan(false)
				convey.So(soon(c.draining), convey.ShouldBeTrue)
				c.Store().SetFault(pomelo.StoreFault{Down: true, DropWatches: true})
				<-leaving.Ended()
			})
			convey.So(other, convey.ShouldBeEmpty)
			convey.So(c.Upstreams()[1].Counters().Running, convey.ShouldEqual, 0)
			c.Store().SetFault(pomelo.StoreFault{})
		})
	})
	convey.Convey("Given calls that take long", t, func() {
		c := startStop(1500)
		convey.Convey("a stop that is withdrawn halfway cuts nothing, and the upstream gets work again", func() {
			other := c.load(func() {
				convey.So(soon(func() bool { return c.Upstreams()[1].Counters().Running > 0 }), convey.ShouldBeTrue)
				c.plan(false)
				convey.So(soon(c.draining), convey.ShouldBeTrue)
				c.plan(true)
				convey.So(soon(func() bool { return !c.draining() }), convey.ShouldBeTrue)
				before := c.Upstreams()[1].Counters().Started
				convey.So(soon(func() bool { return c.Upstreams()[1].Counters().Started > before }), convey.ShouldBeTrue)
			})
			convey.So(other, convey.ShouldBeEmpty)
		})
	})
}
