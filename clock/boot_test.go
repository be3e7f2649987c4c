package clock

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestBootReader(t *testing.T) {
	convey.Convey("A reader of the boot clock", t, func() {
		var wall, monotonic, boot pomelo.Millis = 1_000_000, 100, 5_000
		reads := 0
		b := newBootReader(
			func() pomelo.Millis { return wall },
			func() pomelo.Millis { return monotonic },
			func() pomelo.Millis { reads++; return boot },
		)
		run := func(d pomelo.Millis) { wall += d; monotonic += d; boot += d }

		convey.Convey("reads the boot clock once while the machine is not suspended", func() {
			for range 1_000 {
				run(7)
				convey.So(b.read(), convey.ShouldEqual, boot)
			}
			convey.So(reads, convey.ShouldEqual, 1)
		})
		convey.Convey("includes a suspension from the first reading after it", func() {
			run(10)
			wall += 3_000
			boot += 3_000
			convey.So(b.read(), convey.ShouldEqual, boot)
		})
		convey.Convey("is not affected when the wall clock is set", func() {
			wall -= 2_400
			run(10)
			convey.So(b.read(), convey.ShouldEqual, boot)
			wall += 4_800
			run(10)
			convey.So(b.read(), convey.ShouldEqual, boot)
		})
		convey.Convey("misses at most the drift limit of short suspensions", func() {
			wall += driftLimit
			boot += driftLimit
			convey.So(boot-b.read(), convey.ShouldBeLessThanOrEqualTo, driftLimit)
		})
	})
}
