package clock

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	. "github.com/smartystreets/goconvey/convey"
)

func TestBootReader(t *testing.T) {
	Convey("A reader of the boot clock", t, func() {
		var wall, monotonic, boot pomelo.Millis = 1_000_000, 100, 5_000
		asked := 0
		b := newBootReader(
			func() pomelo.Millis { return wall },
			func() pomelo.Millis { return monotonic },
			func() pomelo.Millis { asked++; return boot },
		)
		run := func(d pomelo.Millis) { wall += d; monotonic += d; boot += d }

		Convey("asks the kernel once while the machine runs", func() {
			for range 1_000 {
				run(7)
				So(b.read(), ShouldEqual, boot)
			}
			So(asked, ShouldEqual, 1)
		})
		Convey("counts a suspension from the first reading after it", func() {
			run(10)
			wall += 3_000
			boot += 3_000
			So(b.read(), ShouldEqual, boot)
		})
		Convey("is not moved by a wall that is set", func() {
			wall -= 2_400
			run(10)
			So(b.read(), ShouldEqual, boot)
			wall += 4_800
			run(10)
			So(b.read(), ShouldEqual, boot)
		})
		Convey("counts suspensions that the drift limit hides only up to it", func() {
			wall += driftLimit
			boot += driftLimit
			So(boot-b.read(), ShouldBeLessThanOrEqualTo, driftLimit)
		})
	})
}
