package mesh

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestStopTimes(t *testing.T) {
	convey.Convey("The moments of a planned stop lie in their order within any grace period", t, func() {
		for _, grace := range []pomelo.Millis{500, 1_000, 2_000, 3_000, 6_000, 10_000} {
			x := newStopTimes(grace)
			convey.So(x.refuse, convey.ShouldBeGreaterThan, 0)
			convey.So(x.abort, convey.ShouldBeGreaterThan, x.refuse)
			convey.So(x.abortCalls, convey.ShouldBeGreaterThanOrEqualTo, x.abort)
			convey.So(x.exit, convey.ShouldBeGreaterThan, x.abort)
			convey.So(x.exit, convey.ShouldBeLessThan, grace)
		}
		convey.So(newStopTimes(6_000), convey.ShouldResemble, stopTimes{refuse: 2_200, abort: 5_050, abortCalls: 5_380, exit: 5_500})
	})
}
