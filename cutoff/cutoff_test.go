package cutoff_test

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/cutoff"
	"github.com/smartystreets/goconvey/convey"
)

// window simulates one window: of a hundred calls each of importance 2 and 8, those above the cutoff arrive, and those over capacity are refused.
func window(c *cutoff.Cutoff, now pomelo.Millis, capacity int) int {
	admitted := 0
	for i := range 100 {
		for _, importance := range []int{2, 8} {
			position := (float64(importance) + float64(i)/100) / 10
			if position < c.Of("a") {
				continue
			}
			admitted++
			c.RecordArrival("a", importance)
			if admitted > capacity {
				c.RecordRefused("a", importance)
			}
		}
	}
	c.Advance(now, false)
	return admitted
}

func TestCutoff(t *testing.T) {
	convey.Convey("Given an account that sends 200 calls a window", t, func() {
		c := cutoff.New()
		now := pomelo.Millis(1_000)
		c.Advance(now, false)
		run := func(windows, capacity int) int {
			sum := 0
			for range windows {
				now += 100
				sum += window(c, now, capacity)
			}
			return sum / windows
		}
		convey.Convey("It keeps the arrivals near the capacity and cuts off the less important calls first", func() {
			run(10, 50)
			convey.So(c.Of("a"), convey.ShouldBeBetween, 0.8, 0.9)
			convey.So(run(50, 50), convey.ShouldBeBetween, 40, 65)
		})
		convey.Convey("It is back to 0 two seconds after the overload", func() {
			run(50, 10)
			convey.So(c.Of("a"), convey.ShouldBeGreaterThan, 0.8)
			run(20, 1000)
			convey.So(c.Of("a"), convey.ShouldEqual, 0)
		})
		convey.Convey("Another account's cutoff stays 0, and a refusal of an unknown account is not stored", func() {
			run(10, 50)
			c.RecordRefused("b", 0)
			convey.So(c.Of("b"), convey.ShouldEqual, 0)
		})
		convey.Convey("While less important calls of any account are served, no account's more important calls are cut off", func() {
			for range 10 {
				now += 100
				for range 20 {
					c.RecordArrival("a", 8)
					c.RecordRefused("a", 8)
					c.RecordServed(5)
				}
				c.Advance(now, false)
			}
			convey.So(c.Of("a"), convey.ShouldBeBetweenOrEqual, 0.5, 0.6)
		})
		convey.Convey("While less important calls are refused to all, they are cut off for accounts that were not refused yet", func() {
			for range 10 {
				now += 100
				for range 20 {
					c.RecordArrival("a", 2)
					c.RecordRefused("a", 2)
					c.RecordServed(8)
				}
				c.Advance(now, false)
			}
			convey.So(c.Of("new"), convey.ShouldEqual, 0.8)
			now += 2_000
			c.Advance(now, false)
			for range 10 {
				now += 100
				c.RecordServed(8)
				c.Advance(now, false)
			}
			convey.So(c.Of("new"), convey.ShouldEqual, 0)
		})
		convey.Convey("Without arrivals the cutoff falls back to 0", func() {
			run(10, 50)
			c.Advance(now+5_000, false)
			convey.So(c.Of("a"), convey.ShouldEqual, 0)
		})
		convey.Convey("A few refusals cut off only a small part of their importance level", func() {
			c.RecordArrival("a", 2)
			c.RecordRefused("a", 2)
			c.RecordRefused("a", 2)
			c.Advance(now+1_000, false)
			convey.So(c.Of("a"), convey.ShouldBeBetween, 0, 0.22)
		})
		convey.Convey("Some of the most important calls are always admitted", func() {
			for range 20 {
				now += 100
				for range 100 {
					c.RecordArrival("a", 9)
					c.RecordRefused("a", 9)
				}
				c.Advance(now, true)
			}
			convey.So(c.Of("a"), convey.ShouldBeLessThan, 1)
		})
	})
}
