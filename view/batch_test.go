package view

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestBatch(t *testing.T) {
	convey.Convey("Changes of a whole fleet within 4 s are read in at most 9 responses, a single change without delay", t, func() {
		var b batch
		now, responses := pomelo.Millis(100_000), 0
		for end := now + 4_000; now < end; responses++ {
			now += b.next(now)
		}
		convey.So(responses, convey.ShouldBeLessThanOrEqualTo, 9)
		convey.So(b.delay, convey.ShouldEqual, maxBatchDelay)
		now += maxBatchDelay + batchQuiet + 1
		convey.So(b.next(now), convey.ShouldEqual, minBatchDelay)
	})
}
