package strain_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/strain"
	"github.com/smartystreets/goconvey/convey"
)

const start = pomelo.Millis(1_700_000_000_000)

// door is a gate that lets all in, or none.
type door struct {
	pomelo.ConcurrencyLimiter
	shut bool
	hold chan struct{}
}

func (d *door) Acquire(context.Context, pomelo.Call) (pomelo.Permit, error) {
	if d.hold != nil {
		<-d.hold
	}
	if d.shut {
		return nil, pomelo.NewFault(pomelo.KindOverload, "full", "come back")
	}
	return ticket{}, nil
}

type ticket struct{}

func (ticket) Release(pomelo.Millis, bool) {}
func (ticket) SetWaiting(bool)             {}

type scene struct {
	clock *clock.Clock
	door  *door
	watch *strain.Watch
}

func newScene() *scene {
	c := clock.New(clock.WithManual(start))
	d := &door{}
	s := &scene{clock: c, door: d, watch: strain.New(d, c)}
	s.watch.Announced(pomelo.Upstream{Service: "shop", Slots: 10})
	return s
}

// seconds passes n seconds with 10 calls each.
func (s *scene) seconds(n int, own pomelo.Millis, whole bool) {
	for range n {
		for range 10 {
			if p, err := s.watch.Acquire(context.Background(), pomelo.Call{}); err == nil {
				p.Release(own, whole)
			}
		}
		s.clock.Advance(1000)
		s.watch.Tick()
	}
}

func (s *scene) kinds() []pomelo.HealthIssueKind {
	var out []pomelo.HealthIssueKind
	for _, r := range s.watch.Strain().Issues {
		out = append(out, r.Kind)
	}
	return out
}

func TestReasons(t *testing.T) {
	convey.Convey("Given an upstream that has been calm", t, func() {
		s := newScene()
		s.seconds(10, 5, true)
		convey.So(s.kinds(), convey.ShouldBeEmpty)
		convey.So(s.watch.Strain().BaselineSelfTime, convey.ShouldEqual, 5)
		convey.Convey("slowness is told with its beginning, and calm ends it", func() {
			s.seconds(4, 50, true)
			convey.So(s.kinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueSelfTime})
			convey.So(s.watch.Strain().UnhealthySince, convey.ShouldBeBetweenOrEqual, start+10_000, start+12_000)
			since := s.watch.Strain().UnhealthySince
			s.seconds(3, 50, true)
			convey.So(s.watch.Strain().UnhealthySince, convey.ShouldEqual, since)
			s.seconds(10, 5, true)
			convey.So(s.kinds(), convey.ShouldBeEmpty)
			convey.So(s.watch.Strain().UnhealthySince, convey.ShouldEqual, 0)
		})
		convey.Convey("refusals are told", func() {
			s.door.shut = true
			s.seconds(2, 5, true)
			convey.So(s.kinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueRefusals})
		})
		convey.Convey("a dead upstream is told, and one that has withdrawn", func() {
			s.seconds(5, 5, false)
			convey.So(s.kinds(), convey.ShouldContain, pomelo.HealthIssueFailures)
			s.watch.Announced(pomelo.Upstream{})
			s.seconds(1, 5, false)
			convey.So(s.kinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueWithdrawn})
			convey.So(s.watch.Strain().Service, convey.ShouldEqual, "shop")
		})
		convey.Convey("a standing queue is told", func() {
			s.door.hold = make(chan struct{})
			for range 5 {
				go func() { _, _ = s.watch.Acquire(context.Background(), pomelo.Call{}) }()
			}
			for s.watch.Strain().Waiting < 5 {
				_ = s.clock.Sleep(context.Background(), 0)
			}
			for range 5 {
				s.clock.Advance(1000)
				s.watch.Tick()
			}
			convey.So(s.kinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueQueue})
			close(s.door.hold)
		})
	})
}

func BenchmarkEnter(b *testing.B) {
	w := strain.New(&door{}, clock.New())
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			t, _ := w.Acquire(context.Background(), pomelo.Call{})
			t.Release(1, true)
		}
	})
}
