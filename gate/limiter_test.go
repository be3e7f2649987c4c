package gate

import (
	"context"
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
)

// eightStreams returns the streams of eight accounts that share total calls a millisecond of one importance; the first account offers factor times its share.
func eightStreams(total, factor float64, importance int) []stream {
	var streams []stream
	for i := range 8 {
		s := stream{account: fmt.Sprint("account-", i), importance: importance, rate: total / 8}
		if i == 0 {
			s.rate *= factor
		}
		streams = append(streams, s)
	}
	return streams
}

func TestOverload(t *testing.T) {
	convey.Convey("Given an upstream of 10 slots and 10 ms, with twice the demand of two importances", t, func() {
		m := newModel(10, 10, 200)
		m.run(2_000, eightStreams(0.5, 1, 5))
		before := m.served()
		m.run(10_000, append(eightStreams(1.4, 1, 2), eightStreams(0.6, 1, 9)...))
		convey.Convey("Its capacity is used, and no answer is late", func() {
			convey.So(m.served()-before, convey.ShouldBeGreaterThan, 9_500)
			for _, c := range m.counts {
				convey.So(c.late, convey.ShouldEqual, 0)
			}
		})
		convey.Convey("No important call is refused while a less important one waits", func() {
			convey.So(m.inversions, convey.ShouldEqual, 0)
			for s, c := range m.counts {
				if s.importance == 9 {
					convey.So(c.refused, convey.ShouldEqual, 0)
				}
			}
		})
	})
}

func TestSlowdown(t *testing.T) {
	convey.Convey("An upstream that slows to a fifth still answers in time, and recovers", t, func() {
		m := newModel(10, 10, 500)
		m.run(3_000, eightStreams(0.8, 1, 5))
		m.service = 50
		m.run(2_000, eightStreams(2, 1, 5))
		servedBefore := m.served()
		m.run(10_000, eightStreams(2, 1, 5))
		convey.So(m.served()-servedBefore, convey.ShouldBeGreaterThan, 1_900)
		m.service = 10
		m.run(2_000, eightStreams(0.8, 1, 5))
		servedAtRecovery := m.served()
		m.run(2_000, eightStreams(0.8, 1, 5))
		convey.So(m.served()-servedAtRecovery, convey.ShouldBeGreaterThan, 1_500)
	})
}

func TestSurge(t *testing.T) {
	convey.Convey("During one account's sixfold surge, the others get at least 95% of what they get without it", t, func() {
		normal := newModel(10, 10, 500)
		normal.run(10_000, eightStreams(0.9, 1, 5))
		surge := newModel(10, 10, 500)
		surge.run(10_000, eightStreams(0.9, 6, 5))
		for s, c := range normal.counts {
			if s.account == "account-0" {
				continue
			}
			share := float64(surge.counts[s].served) / float64(surge.counts[s].offered)
			convey.So(share, convey.ShouldBeGreaterThanOrEqualTo, 0.95*float64(c.served)/float64(c.offered))
		}
	})
}

func TestOneOrderEverywhere(t *testing.T) {
	convey.Convey("Two upstreams that are offered calls of the same roots refuse nearly the same ones", t, func() {
		streams := []stream{{account: "a", importance: 5, rate: 0.5}}
		large, small := newModel(4, 10, 300), newModel(3, 10, 300)
		large.run(10_000, streams)
		small.run(10_000, streams)
		refusedByBoth := 0
		for id := range large.refused {
			if small.refused[id] {
				refusedByBoth++
			}
		}
		convey.So(len(large.refused), convey.ShouldBeGreaterThan, 300)
		convey.So(len(small.refused), convey.ShouldBeGreaterThan, len(large.refused))
		convey.So(float64(refusedByBoth)/float64(len(large.refused)), convey.ShouldBeGreaterThan, 0.9)
	})
}

func TestQueue(t *testing.T) {
	convey.Convey("Given a limiter with one slot and a queue of two calls, both full", t, func() {
		c := clock.New(clock.WithManual(1_000))
		l := New(c, WithSettings(pomelo.LimitSettings{Queue: 2}))
		l.SetCapacity(1, 1)
		first, err := l.Acquire(context.Background(), pomelo.Call{ID: "first", Deadline: 9_000})
		convey.So(err, convey.ShouldBeNil)
		arrive := func(id string, importance, depth int) (*waiter, error) {
			return l.admitOrQueue(c.Now(), pomelo.Call{ID: id, RootID: id, Importance: importance, Depth: depth, Deadline: 9_000})
		}
		low, _ := arrive("low", 1, 0)
		mid, _ := arrive("mid", 3, 0)
		convey.Convey("A more important call replaces the least important one in the queue at once", func() {
			high, err := arrive("high", 9, 0)
			convey.So(err, convey.ShouldBeNil)
			f := pomelo.FaultOf(<-low.decision)
			convey.So(f.Kind, convey.ShouldEqual, pomelo.KindOverload)
			convey.So(f.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(f.RetryAfter, convey.ShouldBeBetweenOrEqual, 500, 1_500)
			first.Release(5, true)
			convey.So(<-high.decision, convey.ShouldBeNil)
			convey.So(len(mid.decision), convey.ShouldEqual, 0)
		})
		convey.Convey("A call less important than all waiting calls is refused", func() {
			_, err := arrive("lowest", 0, 0)
			convey.So(pomelo.IsKind(err, pomelo.KindOverload), convey.ShouldBeTrue)
		})
		convey.Convey("A sub-call replaces a root call of the same importance", func() {
			_, err := arrive("deep", 1, 3)
			convey.So(err, convey.ShouldBeNil)
			convey.So(pomelo.IsKind(<-low.decision, pomelo.KindOverload), convey.ShouldBeTrue)
		})
		convey.Convey("A canceled call is removed from the queue, and a slot that it got in the same moment is released", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			convey.So(pomelo.IsKind(l.abandon(ctx, low), pomelo.KindCanceled), convey.ShouldBeTrue)
			first.Release(5, true)
			convey.So(pomelo.IsKind(l.abandon(ctx, mid), pomelo.KindCanceled), convey.ShouldBeTrue)
			convey.So(l.running, convey.ShouldEqual, 0)
			convey.So(l.Waiting(), convey.ShouldEqual, 0)
		})
		convey.Convey("New calls to an upstream that stopped finishing calls are refused before their deadline", func() {
			first.Release(10, true)
			c.Advance(7_000)
			_, err := arrive("late", 1, 0)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(l.Waiting(), convey.ShouldEqual, 0)
		})
	})
}
