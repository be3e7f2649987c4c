package ratio_test

import (
	"math/rand/v2"
	"testing"

	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/ratio"
	"github.com/smartystreets/goconvey/convey"
)

func retries(r *ratio.Ratio, tries int) int {
	n := 0
	for range tries {
		if r.Retry("shop", 0) {
			n++
		}
	}
	return n
}

func TestRatio(t *testing.T) {
	convey.Convey("Given one retry in ten calls and a floor of two", t, func() {
		c := clock.New(clock.WithManual(0))
		r := ratio.New(c, ratio.WithShare(0.1, 2))
		convey.Convey("Without calls only the floor is retried", func() {
			convey.So(retries(r, 100), convey.ShouldEqual, 2)
			convey.So(r.Retry("history", 0), convey.ShouldBeTrue)
		})
		convey.Convey("Calls add their share, whatever the order", func() {
			for range 200 {
				r.Call("shop")
			}
			convey.So(retries(r, 100), convey.ShouldEqual, 22)
			c.Advance(9_000)
			convey.So(retries(r, 100), convey.ShouldEqual, 0)
			c.Advance(1_000)
			convey.So(retries(r, 100), convey.ShouldEqual, 2)
		})
	})
}

func TestOrder(t *testing.T) {
	convey.Convey("While all upstreams of a deep service refuse half of the calls, the share goes to whole trees of calls", t, func() {
		k := clock.New(clock.WithManual(1_000_000))
		// trees counts those of which all four calls in sequence got an answer.
		trees := func(r *ratio.Ratio) int {
			random := rand.New(rand.NewPCG(1, 1))
			whole := 0
			for range 4_000 {
				k.Advance(2)
				position := random.Float64()
				answered := 0
				for range 4 {
					r.Call("deep")
					got := random.Float64() < 0.55
					for !got && r.Retry("deep", position) {
						got = random.Float64() < 0.55
					}
					if !got {
						break
					}
					answered++
				}
				if answered == 4 {
					whole++
				}
			}
			return whole
		}
		plain := trees(ratio.New(k, ratio.WithShare(0.18, 2)))
		k.Advance(60_000)
		ordered := trees(ratio.New(k, ratio.WithShare(0.18, 2), ratio.WithOrder()))
		convey.So(float64(ordered), convey.ShouldBeGreaterThan, 1.2*float64(plain))
	})
}
