package load

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// timelineOf returns a timeline with 100 requests in each step, of which the given share is complete.
func timelineOf(shares ...float64) timeline {
	var l timeline
	for i, s := range shares {
		l.at(float64(i) * stepMillis).add(step{offered: 100, complete: int64(100 * s), completed: int64(100 * s), completedCost: 100 * s})
	}
	return l
}

func TestRecovery(t *testing.T) {
	full := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	long := append([]float64{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, full...)
	rows := []struct {
		name  string
		after []float64
		want  pomelo.Millis
	}{
		{"at once", []float64{1, 1, 1, 1}, 0},
		{"after half a second", []float64{0.5, 0.5, 1, 1, 1, 1}, 500},
		{"one complete step is not recovery", []float64{1, 0.5, 0.5, 0.5, 1, 1, 1, 1}, 1000},
		{"never", []float64{0.5, 0.9, 0.9, 0.9, 0.9, 0.9}, neverRecovered},
	}
	convey.Convey("The recovery time is from the trigger's end to a second with 95% of the share before it", t, func() {
		for _, r := range rows {
			l := timelineOf(append(append([]float64{}, full...), append([]float64{0.2, 0.2, 0.2, 0.2}, r.after...)...)...)
			found := measureRecovery(l, interval{from: 3000, to: 4000, capacity: 160}, 400)
			convey.So(found.Recovery, convey.ShouldEqual, r.want)
			convey.So(found.GoodputBefore, convey.ShouldEqual, 400)
			convey.So(found.GoodputDuring, convey.ShouldEqual, 80)
			convey.So(found.CapacityShare, convey.ShouldEqual, 0.5)
		}
	})
	convey.Convey("The cold start is excluded from the time before a trigger", t, func() {
		found := measureRecovery(timelineOf(long...), interval{from: 7000, to: 7000}, 0)
		convey.So(found.GoodputBefore, convey.ShouldEqual, 400)
	})
	convey.Convey("Late answers do not count as recovered", t, func() {
		l := timelineOf(append(append([]float64{}, full...), 1, 1, 1, 1)...)
		for i := len(full); i < len(l.steps); i++ {
			l.steps[i].late = 50
		}
		convey.So(measureRecovery(l, interval{from: 2000, to: 3000}, 0).Recovery, convey.ShouldEqual, neverRecovered)
	})
	convey.Convey("A trigger and a surge with the same times are merged", t, func() {
		s := pomelo.LoadStream{Surges: []pomelo.LoadSurge{{From: 10, To: 20, Factor: 2}, {From: 30, To: 40, Factor: 3}}}
		p := pomelo.LoadPlan{Streams: []pomelo.LoadStream{s, s}, Triggers: []pomelo.LoadTrigger{{At: 10, Until: 20, Service: "shop", Capacity: 5}}}
		convey.So(intervals(p), convey.ShouldResemble, []interval{{name: "shop fault", from: 10, to: 20, capacity: 5}, {name: "surge x3", from: 30, to: 40}})
	})
}

func TestAllowed(t *testing.T) {
	convey.Convey("An account's token bucket decides which arrivals are within its rate", t, func() {
		p := pomelo.LoadPlan{
			Accounts: []pomelo.ClientAccount{{Name: "a", Rate: 10, Burst: 2}},
			Streams:  []pomelo.LoadStream{{Account: "a"}, {Account: "unknown"}},
		}
		all := []arrival{{at: 0}, {at: 1}, {at: 2}, {at: 3, stream: 1}, {at: 150}}
		markWithinRate(p, all)
		var withinRate []bool
		for _, a := range all {
			withinRate = append(withinRate, a.withinRate)
		}
		convey.So(withinRate, convey.ShouldResemble, []bool{true, true, false, false, true})
	})
	convey.Convey("The worst account is determined by its requests within its rate, if the rate is known", t, func() {
		name, share := worstAccount([]pomelo.LoadAccount{
			{Name: "large", Offered: 100, CompleteShare: 0.1, WithinRate: 10, WithinRateCompleteShare: 0.9},
			{Name: "small", Offered: 10, CompleteShare: 0.8},
		})
		convey.So(name, convey.ShouldEqual, "small")
		convey.So(share, convey.ShouldEqual, 0.8)
	})
}
