package health_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/health"
	"github.com/smartystreets/goconvey/convey"
)

const start = pomelo.Millis(1_700_000_000_000)

// fakeLimiter is a concurrency limiter that admits every call, or refuses every call; it blocks until block is closed, if block is set.
type fakeLimiter struct {
	pomelo.ConcurrencyLimiter
	refuses bool
	block   chan struct{}
}

func (l *fakeLimiter) Acquire(context.Context, pomelo.Call) (pomelo.Permit, error) {
	if l.block != nil {
		<-l.block
	}
	if l.refuses {
		return nil, pomelo.NewFault(pomelo.KindOverload, "full", "come back")
	}
	return fakePermit{}, nil
}

type fakePermit struct{}

func (fakePermit) Release(pomelo.Millis, bool) {}
func (fakePermit) SetWaiting(bool)             {}

type fixture struct {
	clock   *clock.Clock
	limiter *fakeLimiter
	monitor *health.Monitor
}

func newFixture() *fixture {
	c := clock.New(clock.WithManual(start))
	l := &fakeLimiter{}
	s := &fixture{clock: c, limiter: l, monitor: health.New(l, c)}
	s.monitor.SetUpstream(pomelo.Upstream{Service: "shop", Slots: 10})
	return s
}

// runSeconds simulates n seconds with 10 calls each.
func (s *fixture) runSeconds(n int, selfTime pomelo.Millis, complete bool) {
	for range n {
		for range 10 {
			if p, err := s.monitor.Acquire(context.Background(), pomelo.Call{}); err == nil {
				p.Release(selfTime, complete)
			}
		}
		s.clock.Advance(1000)
		s.monitor.Tick()
	}
}

func (s *fixture) issueKinds() []pomelo.HealthIssueKind {
	var kinds []pomelo.HealthIssueKind
	for _, r := range s.monitor.Health().Issues {
		kinds = append(kinds, r.Kind)
	}
	return kinds
}

func TestHealthIssues(t *testing.T) {
	convey.Convey("Given an upstream that has been healthy", t, func() {
		s := newFixture()
		s.runSeconds(10, 5, true)
		convey.So(s.issueKinds(), convey.ShouldBeEmpty)
		convey.So(s.monitor.Health().BaselineSelfTime, convey.ShouldEqual, 5)
		convey.Convey("slowness is reported with its beginning until the upstream has recovered", func() {
			s.runSeconds(4, 50, true)
			convey.So(s.issueKinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueSelfTime})
			convey.So(s.monitor.Health().UnhealthySince, convey.ShouldBeBetweenOrEqual, start+10_000, start+12_000)
			since := s.monitor.Health().UnhealthySince
			s.runSeconds(3, 50, true)
			convey.So(s.monitor.Health().UnhealthySince, convey.ShouldEqual, since)
			s.runSeconds(10, 5, true)
			convey.So(s.issueKinds(), convey.ShouldBeEmpty)
			convey.So(s.monitor.Health().UnhealthySince, convey.ShouldEqual, 0)
		})
		convey.Convey("refusals are reported", func() {
			s.limiter.refuses = true
			s.runSeconds(2, 5, true)
			convey.So(s.issueKinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueRefusals})
		})
		convey.Convey("a dead upstream is reported, and one that has withdrawn", func() {
			s.runSeconds(5, 5, false)
			convey.So(s.issueKinds(), convey.ShouldContain, pomelo.HealthIssueFailures)
			s.monitor.SetUpstream(pomelo.Upstream{})
			s.runSeconds(1, 5, false)
			convey.So(s.issueKinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueWithdrawn})
			convey.So(s.monitor.Health().Service, convey.ShouldEqual, "shop")
		})
		convey.Convey("a lasting queue is reported", func() {
			s.limiter.block = make(chan struct{})
			for range 5 {
				go func() { _, _ = s.monitor.Acquire(context.Background(), pomelo.Call{}) }()
			}
			for s.monitor.Health().Waiting < 5 {
				_ = s.clock.Sleep(context.Background(), 0)
			}
			for range 5 {
				s.clock.Advance(1000)
				s.monitor.Tick()
			}
			convey.So(s.issueKinds(), convey.ShouldResemble, []pomelo.HealthIssueKind{pomelo.HealthIssueQueue})
			close(s.limiter.block)
		})
	})
}

func BenchmarkEnter(b *testing.B) {
	m := health.New(&fakeLimiter{}, clock.New())
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			t, _ := m.Acquire(context.Background(), pomelo.Call{})
			t.Release(1, true)
		}
	})
}
