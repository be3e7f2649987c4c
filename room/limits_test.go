package room_test

import (
	"testing"

	"github.com/pomeloworks/pomelo/room"
	"github.com/smartystreets/goconvey/convey"
)

func TestLimits(t *testing.T) {
	convey.Convey("All listeners together leave descriptors to upstreams, peers and the store, and each has some", t, func() {
		for _, n := range []int{0, room.MinDescriptors, 600, 4100, 100_000} {
			l := room.Limits{MemoryBytes: 284 << 20, Descriptors: n}
			if n == 0 {
				n = 4096
			}
			used := l.Callers() + l.Upstream() + 2*l.Others()
			convey.So(used, convey.ShouldBeLessThan, n-200)
			convey.So(l.Others(), convey.ShouldBeGreaterThan, 0)
			convey.So(l.Callers(), convey.ShouldBeGreaterThan, 0)
		}
	})
	convey.Convey("A body of 64 MiB, the largest of the platform's own, fits into the memory of its machines", t, func() {
		convey.So(room.Limits{MemoryBytes: 284 << 20}.BodyBytes(), convey.ShouldBeGreaterThan, 64<<20)
	})
	convey.Convey("Connections alone leave memory to requests", t, func() {
		l := room.Limits{MemoryBytes: 64 << 20, Descriptors: 100_000}
		convey.So(int64(l.Callers())*24<<10, convey.ShouldBeLessThanOrEqualTo, l.ClientMemory()/2)
	})
}
