package gate

import (
	"context"
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
)

// eight accounts that together offer total calls a millisecond at one importance, the first one factor times its part.
func eight(total, factor float64, importance int) []stream {
	var all []stream
	for i := range 8 {
		s := stream{account: fmt.Sprint("account-", i), importance: importance, rate: total / 8}
		if i == 0 {
			s.rate *= factor
		}
		all = append(all, s)
	}
	return all
}

func TestOverload(t *testing.T) {
	convey.Convey("Given an upstream of 10 slots and 10 ms, with twice the demand of two importances", t, func() {
		m := newModel(10, 10, 200)
		m.run(2_000, eight(0.5, 1, 5))
		before := m.served()
		m.run(10_000, append(eight(1.4, 1, 2), eight(0.6, 1, 9)...))
		convey.Convey("Its capacity is used, and no answer comes late", func() {
			convey.So(m.served()-before, convey.ShouldBeGreaterThan, 9_500)
			for _, c := range m.counts {
				convey.So(c.late, convey.ShouldEqual, 0)
			}
		})
		convey.Convey("No important call is refused while a less important one waits", func() {
			convey.So(m.unjust, convey.ShouldEqual, 0)
			for s, c := range m.counts {
				if s.importance == 9 {
					convey.So(c.refused, convey.ShouldEqual, 0)
				}
			}
		})
	})
}

func TestSlowdown(t *testing.T) {
	convey.Convey("An upstream that slows to a fifth keeps giving answers in time, and recovers", t, func() {
		m := newModel(10, 10, 500)
		m.run(3_000, eight(0.8, 1, 5))
		m.service = 50
		m.run(2_000, eight(2, 1, 5))
		slow := m.served()
		m.run(10_000, eight(2, 1, 5))
		convey.So(m.served()-slow, convey.ShouldBeGreaterThan, 1_900)
		m.service = 10
		m.run(2_000, eight(0.8, 1, 5))
		after := m.served()
		m.run(2_000, eight(0.8, 1, 5))
		convey.So(m.served()-after, convey.ShouldBeGreaterThan, 1_500)
	})
}

func TestSurge(t *testing.T) {
	convey.Convey("One account's sixfold surge leaves the others at least 95% of what they get without", t, func() {
		calm := newModel(10, 10, 500)
		calm.run(10_000, eight(0.9, 1, 5))
		surge := newModel(10, 10, 500)
		surge.run(10_000, eight(0.9, 6, 5))
		for s, c := range calm.counts {
			if s.account == "account-0" {
				continue
			}
			share := float64(surge.counts[s].served) / float64(surge.counts[s].offered)
			convey.So(share, convey.ShouldBeGreaterThanOrEqualTo, 0.95*float64(c.served)/float64(c.offered))
		}
	})
}

func TestOneOrderEverywhere(t *testing.T) {
	convey.Convey("Two upstreams that are offered the same roots refuse nearly the same ones", t, func() {
		streams := []stream{{account: "a", importance: 5, rate: 0.5}}
		one, other := newModel(4, 10, 300), newModel(3, 10, 300)
		one.run(10_000, streams)
		other.run(10_000, streams)
		both := 0
		for id := range one.refused {
			if other.refused[id] {
				both++
			}
		}
		convey.So(len(one.refused), convey.ShouldBeGreaterThan, 300)
		convey.So(len(other.refused), convey.ShouldBeGreaterThan, len(one.refused))
		convey.So(float64(both)/float64(len(one.refused)), convey.ShouldBeGreaterThan, 0.9)
	})
}

func TestQueue(t *testing.T) {
	convey.Convey("Given a gate of one slot and two waiting calls at most, all full", t, func() {
		c := clock.New(clock.WithManual(1_000))
		g := New(c, WithSettings(pomelo.LimitSettings{Queue: 2}))
		g.SetCapacity(1, 1)
		first, err := g.Acquire(context.Background(), pomelo.Call{ID: "first", Deadline: 9_000})
		convey.So(err, convey.ShouldBeNil)
		arrive := func(id string, importance, depth int) (*waiter, error) {
			return g.arrive(c.Now(), pomelo.Call{ID: id, RootID: id, Importance: importance, Depth: depth, Deadline: 9_000})
		}
		low, _ := arrive("low", 1, 0)
		mid, _ := arrive("mid", 3, 0)
		convey.Convey("A more important call takes the place of the least important one, at once", func() {
			high, err := arrive("high", 9, 0)
			convey.So(err, convey.ShouldBeNil)
			f := pomelo.FaultOf(<-low.turn)
			convey.So(f.Kind, convey.ShouldEqual, pomelo.KindOverload)
			convey.So(f.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(f.RetryAfter, convey.ShouldBeBetweenOrEqual, 500, 1_500)
			first.Release(5, true)
			convey.So(<-high.turn, convey.ShouldBeNil)
			convey.So(len(mid.turn), convey.ShouldEqual, 0)
		})
		convey.Convey("A less important one is refused", func() {
			_, err := arrive("lowest", 0, 0)
			convey.So(pomelo.IsKind(err, pomelo.KindOverload), convey.ShouldBeTrue)
		})
		convey.Convey("Work deep in its tree takes the place of fresh work", func() {
			_, err := arrive("deep", 1, 3)
			convey.So(err, convey.ShouldBeNil)
			convey.So(pomelo.IsKind(<-low.turn, pomelo.KindOverload), convey.ShouldBeTrue)
		})
		convey.Convey("A call that is given up leaves the queue, and a place that came meanwhile is passed on", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			convey.So(pomelo.IsKind(g.abandon(ctx, low), pomelo.KindCanceled), convey.ShouldBeTrue)
			first.Release(5, true)
			convey.So(pomelo.IsKind(g.abandon(ctx, mid), pomelo.KindCanceled), convey.ShouldBeTrue)
			convey.So(g.running, convey.ShouldEqual, 0)
			convey.So(g.Waiting(), convey.ShouldEqual, 0)
		})
		convey.Convey("An upstream that ends nothing any more has new calls refused before their deadline", func() {
			first.Release(10, true)
			c.Advance(7_000)
			_, err := arrive("late", 1, 0)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(g.Waiting(), convey.ShouldEqual, 0)
		})
	})
}
