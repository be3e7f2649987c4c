package fleet_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/cutkv"
	"github.com/pomeloworks/pomelo/fleet"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/smartystreets/goconvey/convey"
)

const keyMaxAge = pomelo.Millis(2_000)

type partitionedFleet struct {
	*fleet.Fleet
	partition *cutkv.Partition
}

func startPartitioned(count int) *partitionedFleet {
	plan := pathPlan()
	plan.Services[0].Count = count
	plan.Routes = append(plan.Routes, pomelo.Route{Name: "GET /front", Service: "front", Timeout: 2000})
	plan.Limits.KeyMaxAge = keyMaxAge
	c := &partitionedFleet{partition: cutkv.New()}
	c.Fleet = fleet.New(plan, fleet.WithStoreWrapper(c.partition.Wrap))
	convey.So(c.Start(context.Background()), convey.ShouldBeNil)
	convey.Reset(func() { _ = c.Stop(context.Background()) })
	return c
}

// send sends a request to the node and returns the HTTP status and the beginning of the body, or the error.
func (c *partitionedFleet) send(node int, path string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, c.Targets()[node]+path, http.NoBody)
	convey.So(err, convey.ShouldBeNil)
	r.Header.Set(pomelo.HeaderKey, c.Secret("growers"))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b := make([]byte, 512)
	n, _ := resp.Body.Read(b)
	return resp.StatusCode, string(b[:n])
}

func (c *partitionedFleet) isServing(node int) bool {
	s, _ := c.send(node, "/front")
	return s == http.StatusOK
}

func (c *partitionedFleet) refuses(node int, kind pomelo.Kind) func() bool {
	return func() bool {
		_, body := c.send(node, "/front")
		return strings.Contains(body, string(kind))
	}
}

func (c *partitionedFleet) withdraw(ctx context.Context) error {
	sum := sha256.Sum256([]byte(c.Secret("growers")))
	id := hex.EncodeToString(sum[:])
	_, err := change.New(kvhttp.New(c.StoreURL())).Run(ctx, pomelo.Command{WithdrawKey: &pomelo.WithdrawKey{ID: id}})
	return err
}

func eventually(f func() bool) bool {
	for range 500 {
		if f() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func TestCutFromStore(t *testing.T) {
	convey.Convey("Given five nodes", t, func() {
		c := startPartitioned(4)
		first := c.Nodes()[0].Members().Self().VM
		convey.So(eventually(func() bool { return c.isServing(0) }), convey.ShouldBeTrue)
		convey.Convey("a withdrawn key is refused by a node that is partitioned from the store but not from its peers", func() {
			c.partition.Set(first, true)
			convey.So(c.withdraw(context.Background()), convey.ShouldBeNil)
			convey.So(eventually(c.refuses(0, pomelo.KindKeyWithdrawn)), convey.ShouldBeTrue)
		})
		convey.Convey("a node that is partitioned from the store and from its peers accepts no key", func() {
			c.partition.Set(first, true)
			for _, n := range c.Nodes()[1:] {
				convey.So(n.Stop(context.Background()), convey.ShouldBeNil)
			}
			convey.So(eventually(c.refuses(0, pomelo.KindNotAuthoritative)), convey.ShouldBeTrue)
		})
		convey.Convey("an outage of the store that is longer than the maximum age of keys and the TTL of leases has no effect on requests", func() {
			c.Store().SetFault(pomelo.StoreFault{Down: true, DropWatches: true})
			wall := clock.New()
			for end := wall.Now() + 2*keyMaxAge; wall.Now() < end; {
				for i := range c.Nodes() {
					_, body := c.send(i, "/front")
					convey.So(body, convey.ShouldContainSubstring, `"service":"front"`)
				}
			}
			c.Store().SetFault(pomelo.StoreFault{})
			convey.So(c.withdraw(context.Background()), convey.ShouldBeNil)
			for i := range c.Nodes() {
				convey.So(eventually(c.refuses(i, pomelo.KindKeyWithdrawn)), convey.ShouldBeTrue)
			}
		})
	})
}
