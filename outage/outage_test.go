package outage_test

import (
	"math/rand/v2"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/outage"
	"github.com/smartystreets/goconvey/convey"
)

var errAway = pomelo.NewFault(pomelo.KindStoreUnavailable, "status 503", "try again in a while")

// TestOutage replays a store that is away for 10 s, for 50 nodes with three loops that each want to call it every 50 ms.
func TestOutage(t *testing.T) {
	convey.Convey("During 10 s without the store 50 nodes send less than 10 calls each, and notice its return within 3 s", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		const nodes, absence = 50, 10_000
		calls, lastBack := 0, pomelo.Millis(0)
		for range nodes {
			o := outage.New()
			for now := pomelo.Millis(0); now == 0 || o.IsAway(); now += 50 {
				for range 3 {
					if !o.Allow(now) {
						continue
					}
					if now < absence {
						calls++
						o.Record(errAway, now, random.Float64())
						continue
					}
					o.Record(nil, now, random.Float64())
					lastBack = max(lastBack, now)
				}
			}
		}
		convey.So(calls, convey.ShouldBeLessThan, 10*nodes+2*nodes)
		convey.So(lastBack-absence, convey.ShouldBeLessThanOrEqualTo, 3_050)
	})
	convey.Convey("Given a store that has been away for long", t, func() {
		o := outage.New()
		now := pomelo.Millis(0)
		for range 8 {
			for !o.Allow(now) {
				now += 10
			}
			o.Record(errAway, now, 0.5)
		}
		convey.So(o.Allow(now), convey.ShouldBeFalse)

		convey.Convey("another node's success ends the pause, but not again and again", func() {
			o.Hint(now, 0.5)
			now += 100
			convey.So(o.Allow(now), convey.ShouldBeTrue)
			o.Record(errAway, now, 0.5)
			o.Hint(now, 0)
			convey.So(o.Allow(now), convey.ShouldBeFalse)
		})
		convey.Convey("a call without a result holds the others back only for a while", func() {
			now += 2_000
			convey.So(o.Allow(now), convey.ShouldBeTrue)
			convey.So(o.Allow(now+1_000), convey.ShouldBeFalse)
			convey.So(o.Allow(now+1_500), convey.ShouldBeTrue)
		})
		convey.Convey("an answer, if only that a lease has expired, means that the store is back", func() {
			o.Record(pomelo.NewFault(pomelo.KindLeaseExpired, "gone", "none"), now, 0.5)
			convey.So(o.IsAway(), convey.ShouldBeFalse)
		})
	})
}
