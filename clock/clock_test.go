package clock_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
)

func TestSystemTime(t *testing.T) {
	convey.Convey("Now uses the later reading and never runs backwards", t, func() {
		wall, mono := pomelo.Millis(1000), pomelo.Millis(5)
		c := clock.New(clock.WithReaders(
			func() pomelo.Millis { return wall },
			func() pomelo.Millis { return mono },
		))
		convey.So(c.Now(), convey.ShouldEqual, 1000)
		mono += 10
		convey.So(c.Now(), convey.ShouldEqual, 1010)
		wall = 5000
		convey.So(c.Now(), convey.ShouldEqual, 5000)
		wall = 10
		convey.So(c.Now(), convey.ShouldEqual, 5000)
		mono += 7
		convey.So(c.Now(), convey.ShouldEqual, 5007)
	})
	convey.Convey("Sleep returns after the time or when the context is done", t, func() {
		c := clock.New()
		start := c.Now()
		convey.So(c.Sleep(context.Background(), 5), convey.ShouldBeNil)
		convey.So(c.Now(), convey.ShouldBeGreaterThan, start)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		convey.So(c.Sleep(ctx, 1_000_000), convey.ShouldEqual, context.Canceled)
	})
}

func TestManualTime(t *testing.T) {
	convey.Convey("A sleeper wakes only when Advance reaches its time", t, func() {
		c := clock.New(clock.WithManual(100))
		woken := make(chan error, 1)
		go func() { woken <- c.Sleep(context.Background(), 50) }()
		for c.Sleepers() == 0 {
			runtime.Gosched()
		}
		c.Advance(49)
		convey.So(c.Sleepers(), convey.ShouldEqual, 1)
		c.Advance(1)
		convey.So(<-woken, convey.ShouldBeNil)
		convey.So(c.Now(), convey.ShouldEqual, 150)
		c.Advance(-10)
		convey.So(c.Now(), convey.ShouldEqual, 150)
	})
	convey.Convey("A cancelled sleeper is removed", t, func() {
		c := clock.New(clock.WithManual(0))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		convey.So(c.Sleep(ctx, 10), convey.ShouldEqual, context.Canceled)
		convey.So(c.Sleepers(), convey.ShouldEqual, 0)
	})
}
