package fakeup

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// loadSamples holds two samples; the older one is between one and two lags old.
type loadSamples struct {
	older pomelo.FakeLoad
	newer pomelo.FakeLoad
}

func (l *loadSamples) reset(now pomelo.FakeLoad) {
	l.older = now
	l.newer = now
}

func (l *loadSamples) push(now pomelo.FakeLoad) {
	l.older = l.newer
	l.newer = now
}

func (s *Server) sample(ctx context.Context) error {
	for s.clock.Sleep(ctx, s.spec.LoadReportLag) == nil {
		s.mutex.Lock()
		s.samples.push(s.load())
		s.mutex.Unlock()
	}
	return nil
}

// load must be called under the mutex.
func (s *Server) load() pomelo.FakeLoad {
	c := s.log.counts
	return pomelo.FakeLoad{
		Running: c.Running,
		Waiting: c.Waiting,
		Healthy: !s.fault.Refuse && !s.fault.NeverRespond && c.Waiting <= int64(s.spec.Slots),
	}
}

func (s *Server) laggedLoad() pomelo.FakeLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.samples.older
}

func (s *Server) healthy() bool {
	switch s.spec.HealthMode {
	case pomelo.FakeHealthAlwaysOK:
		return true
	case pomelo.FakeHealthAlwaysFail:
		return false
	case pomelo.FakeHealthLags:
		return s.laggedLoad().Healthy
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.load().Healthy
}
