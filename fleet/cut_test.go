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

type cutFleet struct {
	*fleet.Fleet
	cut *cutkv.Switch
}

func startCut(count int) *cutFleet {
	plan := pathPlan()
	plan.Services[0].Count = count
	plan.Routes = append(plan.Routes, pomelo.Route{Name: "GET /front", Service: "front", Timeout: 2000})
	plan.Limits.KeyMaxAge = keyMaxAge
	c := &cutFleet{cut: cutkv.New()}
	c.Fleet = fleet.New(plan, fleet.WithStore(c.cut.Wrap))
	convey.So(c.Start(context.Background()), convey.ShouldBeNil)
	convey.Reset(func() { _ = c.Stop(context.Background()) })
	return c
}

// status is the HTTP status and the refusal's kind of a request at the node.
func (c *cutFleet) status(node int, path string) (int, string) {
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

func (c *cutFleet) answers(node int) bool {
	s, _ := c.status(node, "/front")
	return s == http.StatusOK
}

func (c *cutFleet) refuses(node int, kind pomelo.Kind) func() bool {
	return func() bool {
		_, body := c.status(node, "/front")
		return strings.Contains(body, string(kind))
	}
}

func (c *cutFleet) withdraw(ctx context.Context) error {
	sum := sha256.Sum256([]byte(c.Secret("growers")))
	id := hex.EncodeToString(sum[:])
	_, err := change.New(kvhttp.New(c.StoreURL())).Run(ctx, pomelo.Command{WithdrawKey: &pomelo.WithdrawKey{ID: id}})
	return err
}

func soon(f func() bool) bool {
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
		c := startCut(4)
		first := c.Nodes()[0].Members().Self().VM
		convey.So(soon(func() bool { return c.answers(0) }), convey.ShouldBeTrue)
		convey.Convey("a withdrawn key stops at a node that is cut off from the store but not from its peers", func() {
			c.cut.Set(first, true)
			convey.So(c.withdraw(context.Background()), convey.ShouldBeNil)
			convey.So(soon(c.refuses(0, pomelo.KindKeyWithdrawn)), convey.ShouldBeTrue)
		})
		convey.Convey("a node that is cut off from the store and from its peers trusts no key", func() {
			c.cut.Set(first, true)
			for _, n := range c.Nodes()[1:] {
				convey.So(n.Stop(context.Background()), convey.ShouldBeNil)
			}
			convey.So(soon(c.refuses(0, pomelo.KindNotAuthoritative)), convey.ShouldBeTrue)
		})
		convey.Convey("an outage of the store that is longer than keys are trusted and leases last changes nothing", func() {
			c.Store().SetFault(pomelo.StoreFault{Down: true, DropWatches: true})
			k := clock.New()
			for end := k.Now() + 2*keyMaxAge; k.Now() < end; {
				for i := range c.Nodes() {
					_, body := c.status(i, "/front")
					convey.So(body, convey.ShouldContainSubstring, `"service":"front"`)
				}
			}
			c.Store().SetFault(pomelo.StoreFault{})
			convey.So(c.withdraw(context.Background()), convey.ShouldBeNil)
			for i := range c.Nodes() {
				convey.So(soon(c.refuses(i, pomelo.KindKeyWithdrawn)), convey.ShouldBeTrue)
			}
		})
	})
}
