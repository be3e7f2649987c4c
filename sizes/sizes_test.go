package sizes_test

import (
	"testing"

	"github.com/pomeloworks/pomelo/sizes"
	"github.com/smartystreets/goconvey/convey"
)

func TestSizes(t *testing.T) {
	convey.Convey("Given sizes of 1,000 bytes or more", t, func() {
		s := sizes.New(1000)
		record := func(route string, times, bytes int) {
			for range times {
				s.Record(route, bytes)
			}
		}
		convey.Convey("routes with long answers are remembered, and forgotten when their answers become short", func() {
			record("short", 1, 999)
			record("long", 50, 20_000)
			convey.So([]int64{s.Expect("short"), s.Expect("other")}, convey.ShouldResemble, []int64{0, 0})
			convey.So(s.Expect("long"), convey.ShouldBeBetween, 19_000, 20_000)
			record("long", 50, 10)
			convey.So(s.Expect("long"), convey.ShouldEqual, 0)
		})
		convey.Convey("one long answer among short ones counts for a tenth", func() {
			record("mixed", 1, 20_000)
			convey.So(s.Expect("mixed"), convey.ShouldEqual, 2_000)
			record("mixed", 7, 10)
			convey.So(s.Expect("mixed"), convey.ShouldEqual, 0)
		})
	})
}
