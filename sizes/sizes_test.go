package sizes_test

import (
	"testing"

	"github.com/pomeloworks/pomelo/sizes"
	"github.com/smartystreets/goconvey/convey"
)

func TestSizes(t *testing.T) {
	convey.Convey("Routes with long answers are remembered, and forgotten when their answers become short", t, func() {
		s := sizes.New(1000)
		s.Record("short", 999)
		s.Record("long", 2000)
		convey.So([]int64{s.Expect("short"), s.Expect("long"), s.Expect("other")}, convey.ShouldResemble, []int64{0, 2000, 0})
		s.Record("long", 3000)
		convey.So(s.Expect("long"), convey.ShouldEqual, 3000)
		for range 20 {
			s.Record("long", 10)
		}
		convey.So(s.Expect("long"), convey.ShouldEqual, 0)
	})
}
