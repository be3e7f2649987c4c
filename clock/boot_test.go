package clock

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestBootReader(t *testing.T) {
	convey.Convey("A reader of the boot clock", t, func() {
		var wall, monotonic, boot pomelo.Millis = 1_000_000, 100, 5_000
		asked := 0
		b := newBootReader(
			func() pomelo.Millis { return wall },
			func() pomelo.Millis { return monotonic },
			func() pomelo.Millis { asked++; return boot },
		)
		run := func(d pomelo.Millis) { wall += d; monotonic += d; boot += d }

		convey.Convey("asks the kernel once while the machine runs", func() {
			for range 1_000 {
				run(7)
				convey.So(b.read(), convey.ShouldEqual, boot)
			}
			convey.So(asked, convey.ShouldEqual, 1)
		})
		convey.Convey("counts a suspension from the first reading after it", func() {
			run(10)
			wall += 3_000
			boot += 3_000
			convey.So(b.read(), convey.ShouldEqual, boot)
		})
		convey.Convey("is not moved by a wall that is set", func() {
			wall -= 2_400
			run(10)
			convey.So(b.read(), convey.ShouldEqual, boot)
			wall += 4_800
			run(10)
			convey.So(b.read(), convey.ShouldEqual, boot)
		})
		convey.Convey("counts suspensions that the drift limit hides only up to it", func() {
			wall += driftLimit
			boot += driftLimit
			convey.So(boot-b.read(), convey.ShouldBeLessThanOrEqualTo, driftLimit)
		})
	})
}
