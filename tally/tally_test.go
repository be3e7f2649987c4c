package tally_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/tally"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	start  = pomelo.Millis(1_700_000_000_000)
	minute = pomelo.Millis(60_000)
	hour   = 60 * minute
)

func total(t *tally.Tally, windows ...pomelo.Millis) []int64 {
	out := make([]int64, len(windows))
	for _, c := range t.Counts(windows) {
		for i, n := range c.PerWindow {
			out[i] += n
		}
	}
	return out
}

func TestWindows(t *testing.T) {
	convey.Convey("A call drops out of each window when it is older than the window", t, func() {
		c := clock.New(clock.WithManual(start))
		a := tally.New(c)
		windows := []pomelo.Millis{minute, 5 * minute, hour, 6 * hour}
		a.Record("shop", "growers", pomelo.OutcomeComplete)
		convey.So(total(a, windows...), convey.ShouldResemble, []int64{1, 1, 1, 1})
		for _, s := range []struct {
			step pomelo.Millis
			want []int64
		}{
			{minute, []int64{0, 1, 1, 1}}, {4 * minute, []int64{0, 0, 1, 1}}, {55 * minute, []int64{0, 0, 0, 1}}, {5 * hour, []int64{0, 0, 0, 0}},
		} {
			c.Advance(s.step)
			convey.So(total(a, windows...), convey.ShouldResemble, s.want)
		}
	})
	convey.Convey("A window's count is at most the calls in the window, and at least those after its first slot", t, func() {
		rapid.Check(t, func(r *rapid.T) {
			c := clock.New(clock.WithManual(start))
			a := tally.New(c)
			var times []pomelo.Millis
			for range rapid.IntRange(1, 60).Draw(r, "n") {
				c.Advance(pomelo.Millis(rapid.Int64Range(0, int64(hour/2)).Draw(r, "step")))
				a.Record("s", "a", "x")
				times = append(times, c.Now())
			}
			for window, slot := range map[pomelo.Millis]pomelo.Millis{minute: 10_000, 5 * minute: 10_000, hour: 2 * minute, 6 * hour: 12 * minute} {
				got := total(a, window)[0]
				low, high := count(times, c.Now()-window+slot), count(times, c.Now()-window)
				if got < low || got > high {
					r.Fatalf("window %d: %d not in [%d, %d]", window, got, low, high)
				}
			}
		})
	})
}

func count(times []pomelo.Millis, after pomelo.Millis) int64 {
	n := int64(0)
	for _, v := range times {
		if v >= after {
			n++
		}
	}
	return n
}

func TestBounds(t *testing.T) {
	convey.Convey("Client accounts over the limit are counted together, and no call is lost", t, func() {
		c := clock.New(clock.WithManual(start))
		a := tally.New(c, tally.WithLimits(10, 6))
		for i := range 100 {
			a.Record("shop", fmt.Sprint(i), pomelo.OutcomeComplete)
		}
		counts := a.Counts([]pomelo.Millis{minute})
		convey.So(len(counts), convey.ShouldBeLessThanOrEqualTo, 6)
		convey.So(total(a, minute), convey.ShouldResemble, []int64{100})
		c.Advance(7 * hour)
		a.Record("shop", "late", pomelo.OutcomeComplete)
		convey.So(a.Counts([]pomelo.Millis{minute})[0].Account, convey.ShouldEqual, "late")
	})
	convey.Convey("No count is lost under concurrent use", t, func() {
		a := tally.New(clock.New(clock.WithManual(start)))
		var g sync.WaitGroup
		for i := range 8 {
			g.Go(func() {
				for range 500 {
					a.Record("shop", fmt.Sprint(i%3), pomelo.OutcomeComplete)
				}
			})
		}
		g.Wait()
		convey.So(total(a, minute), convey.ShouldResemble, []int64{4000})
	})
}

type fixedObjective struct {
	pomelo.Configuration
}

func (fixedObjective) Objective(service string) (pomelo.Objective, bool) {
	return pomelo.Objective{Service: service, Latency: 100}, true
}

type delayedHandler struct {
	clock  *clock.Clock
	took   pomelo.Millis
	answer pomelo.Answer
}

func (a *delayedHandler) Handle(context.Context, pomelo.Call) pomelo.Answer {
	a.clock.Advance(a.took)
	return a.answer
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		took   pomelo.Millis
		answer pomelo.Answer
		want   string
	}{
		{100, pomelo.Answer{Status: 200}, pomelo.OutcomeComplete},
		{101, pomelo.Answer{Status: 200}, pomelo.OutcomeSlow},
		{5, pomelo.Answer{Status: 404}, pomelo.OutcomeComplete},
		{5, pomelo.Answer{Status: 503}, pomelo.OutcomeUpstreamError},
		{5, pomelo.Refuse("", pomelo.NewFault(pomelo.KindOverload, "", "")), "overload"},
		{5, pomelo.Refuse("", pomelo.NewFault(pomelo.KindCanceled, "", "")), "canceled"},
		{500, pomelo.Refuse("", pomelo.NewFault(pomelo.KindCanceled, "", "")), pomelo.OutcomeSlow},
	}
	convey.Convey("A call's outcome depends on its response and duration", t, func() {
		for _, e := range cases {
			c := clock.New(clock.WithManual(start))
			a := tally.New(c)
			a.Wrap(fixedObjective{}, &delayedHandler{clock: c, took: e.took, answer: e.answer}).Handle(context.Background(), pomelo.Call{Service: "shop", Account: "growers"})
			convey.So(a.Counts([]pomelo.Millis{minute}), convey.ShouldResemble, []pomelo.OutcomeCount{{Service: "shop", Account: "growers", Outcome: e.want, PerWindow: []int64{1}}})
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	a := tally.New(clock.New())
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			a.Record("shop", "growers", pomelo.OutcomeComplete)
		}
	})
}

// BenchmarkSeries measures the memory of a tally with the maximum number of series.
func BenchmarkSeries(b *testing.B) {
	const series = 4096
	for b.Loop() {
		a := tally.New(clock.New())
		for i := range series {
			a.Record("shop", fmt.Sprint(i), pomelo.OutcomeComplete)
		}
	}
	b.ReportAllocs()
}

func BenchmarkCounts(b *testing.B) {
	a := tally.New(clock.New())
	for i := range 4096 {
		a.Record("shop", fmt.Sprint(i), pomelo.OutcomeComplete)
	}
	for b.Loop() {
		a.Counts([]pomelo.Millis{5 * minute, hour, 6 * hour})
	}
}
