package load

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// lineOf gives 100 requests to each step, of which the share at its place is whole.
func lineOf(shares ...float64) timeline {
	var l timeline
	for i, s := range shares {
		l.at(float64(i) * stepMillis).add(step{offered: 100, whole: int64(100 * s), completed: int64(100 * s), completedCost: 100 * s})
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
		{"one good step is not recovery", []float64{1, 0.5, 0.5, 0.5, 1, 1, 1, 1}, 1000},
		{"never", []float64{0.5, 0.9, 0.9, 0.9, 0.9, 0.9}, neverRecovered},
	}
	convey.Convey("Recovery is counted from the trigger's end to a second back at 95% of what was before", t, func() {
		for _, r := range rows {
			l := lineOf(append(append([]float64{}, full...), append([]float64{0.2, 0.2, 0.2, 0.2}, r.after...)...)...)
			found := recovery(l, span{from: 3000, to: 4000, capacity: 160}, 400)
			convey.So(found.Recovery, convey.ShouldEqual, r.want)
			convey.So(found.GoodputBefore, convey.ShouldEqual, 400)
			convey.So(found.GoodputDuring, convey.ShouldEqual, 80)
			convey.So(found.CapacityShare, convey.ShouldEqual, 0.5)
		}
	})
	convey.Convey("The cold start is left out of what was before", t, func() {
		found := recovery(lineOf(long...), span{from: 7000, to: 7000}, 0)
		convey.So(found.GoodputBefore, convey.ShouldEqual, 400)
	})
	convey.Convey("Answers that came late do not count as recovered", t, func() {
		l := lineOf(append(append([]float64{}, full...), 1, 1, 1, 1)...)
		for i := len(full); i < len(l.steps); i++ {
			l.steps[i].late = 50
		}
		convey.So(recovery(l, span{from: 2000, to: 3000}, 0).Recovery, convey.ShouldEqual, neverRecovered)
	})
	convey.Convey("A trigger and a surge of the same times are one", t, func() {
		s := pomelo.LoadStream{Surges: []pomelo.LoadSurge{{From: 10, To: 20, Factor: 2}, {From: 30, To: 40, Factor: 3}}}
		p := pomelo.LoadPlan{Streams: []pomelo.LoadStream{s, s}, Triggers: []pomelo.LoadTrigger{{At: 10, Until: 20, Service: "shop", Capacity: 5}}}
		convey.So(spans(p), convey.ShouldResemble, []span{{name: "shop fault", from: 10, to: 20, capacity: 5}, {name: "surge x3", from: 30, to: 40}})
	})
}

func TestAllowed(t *testing.T) {
	convey.Convey("An account's own bucket tells which arrivals its rate has room for", t, func() {
		p := pomelo.LoadPlan{
			Accounts: []pomelo.ClientAccount{{Name: "a", Rate: 10, Burst: 2}},
			Streams:  []pomelo.LoadStream{{Account: "a"}, {Account: "unknown"}},
		}
		all := []arrival{{at: 0}, {at: 1}, {at: 2}, {at: 3, stream: 1}, {at: 150}}
		markAllowed(p, all)
		var allowed []bool
		for _, a := range all {
			allowed = append(allowed, a.allowed)
		}
		convey.So(allowed, convey.ShouldResemble, []bool{true, true, false, false, true})
	})
	convey.Convey("The worst account is judged by its requests inside its rate, where that is known", t, func() {
		name, share := worst([]pomelo.LoadAccount{
			{Name: "large", Offered: 100, CompleteShare: 0.1, WithinRate: 10, WithinRateCompleteShare: 0.9},
			{Name: "small", Offered: 10, CompleteShare: 0.8},
		})
		convey.So(name, convey.ShouldEqual, "small")
		convey.So(share, convey.ShouldEqual, 0.8)
	})
}
