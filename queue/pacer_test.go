package queue_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/queue"
	"github.com/smartystreets/goconvey/convey"
)

func TestStatedLimit(t *testing.T) {
	convey.Convey("Ten calls at an upstream with free slots that states ten requests a second", t, func() {
		k := clock.New(clock.WithManual(now))
		q := queue.New(k, 1)
		q.SetCapacity(50, 0)
		q.SetRate(pomelo.RateStatement{Limited: true, PerSecond: 10})
		out := make(chan entered, 16)
		for i := range 10 {
			enter(q, call(fmt.Sprint(i), 0, 0), out)
		}
		load := func() int {
			running, _, _ := q.Load()
			return running
		}
		reaches := func(running int) bool {
			for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if load() >= running {
					break
				}
			}
			return load() == running
		}
		convey.So(load(), convey.ShouldEqual, 2)

		convey.Convey("start a tenth of a second apart after the first two", func() {
			for started := 3; started <= 10; started++ {
				convey.So(reaches(started-1), convey.ShouldBeTrue)
				// Advance wakes only sleeps that have begun.
				for end := time.Now().Add(pollTimeout); time.Now().Before(end) && k.Sleepers() == 0; {
					time.Sleep(time.Millisecond)
				}
				k.Advance(99)
				convey.So(load(), convey.ShouldEqual, started-1)
				k.Advance(1)
				convey.So(reaches(started), convey.ShouldBeTrue)
			}
		})
		convey.Convey("all start once the upstream states no limit", func() {
			q.SetRate(pomelo.RateStatement{})
			convey.So(load(), convey.ShouldEqual, 10)
			convey.So(q.Capacity(), convey.ShouldEqual, 50)
		})
		convey.Convey("make a call that would wait longer than half of its objective refused at once, with the wait as RetryAfter", func() {
			c := call("late", 0, 0)
			c.LatencyObjective = 1_000
			_, err := q.Acquire(context.Background(), c)
			f := pomelo.FaultOf(err)
			convey.So(f.Kind, convey.ShouldEqual, pomelo.KindOverload)
			convey.So(f.RetryAfter, convey.ShouldBeBetween, 400, 1_500)
		})
	})

	convey.Convey("An upstream that accepts no requests gets one every five seconds, which shows when it accepts them again", t, func() {
		k := clock.New(clock.WithManual(now))
		q := queue.New(k, 1)
		q.SetCapacity(50, 0)
		q.SetRate(pomelo.RateStatement{Limited: true})
		started := 0
		for range 300 {
			c := call("c", 0, 0)
			c.LatencyObjective = 100
			c.Deadline = k.Now() + 10_000
			if p, err := q.Acquire(context.Background(), c); err == nil {
				started++
				p.Release(10, true)
			}
			k.Advance(100)
		}
		convey.So(started, convey.ShouldEqual, 6)
	})
}
