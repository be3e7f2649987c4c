package fakeup

import (
	"math"
	"strings"

	"github.com/pomeloworks/pomelo"
)

func (s *Server) routeFor(path string) pomelo.FakeRoute {
	best := pomelo.FakeRoute{ServiceTime: s.spec.ServiceTime, SubCalls: s.spec.SubCalls}
	for _, r := range s.spec.Routes {
		if strings.HasPrefix(path, r.Path) && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best
}

func (s *Server) serviceTime(base pomelo.Millis, f pomelo.FakeFault) pomelo.Millis {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := float64(base) * (1 - s.spec.JitterShare + s.spec.JitterShare*s.jitterFactor())
	if f.SlowFactor > 0 {
		t *= f.SlowFactor
	}
	if s.clock.Now() < s.startedAt+s.spec.ColdStart {
		t *= s.spec.ColdFactor
	}
	return pomelo.Millis(math.Round(t))
}

// jitterFactor returns a random factor with mean 1.
func (s *Server) jitterFactor() float64 {
	switch s.spec.Jitter {
	case pomelo.FakeJitterExponential:
		return s.random.ExpFloat64()
	case pomelo.FakeJitterLognormal:
		// A log-normal variable with sigma 1 has mean 1 if mu is -1/2.
		return math.Exp(s.random.NormFloat64() - 0.5)
	}
	return 1
}

func (s *Server) currentFault() pomelo.FakeFault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fault
}
