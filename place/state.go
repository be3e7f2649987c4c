package place

import (
	"math"
	"net/http"

	"github.com/pomeloworks/pomelo"
)

const (
	// slownessWeight is the minimum weight of one call in a member's slowness.
	slownessWeight = 0.05
	// staleSlownessWeight is the weight of a call that ends staleAfter, in milliseconds, or more after the previous sample.
	staleSlownessWeight = 0.3
	staleAfter          = 3_000.0
	failureWeight       = 0.1
	// failureCost is the cost, in milliseconds, of a call that is certain to fail: about another attempt after a wait.
	failureCost = 1_500.0
	// upstreamFailureShare is the weight of an upstream's 5xx status, as a share of a failure: its cause may lie in a service that the upstream calls.
	upstreamFailureShare = 0.25
	// loadExponent is the power with which an upstream slows down as its load rises to 1.
	loadExponent = 6
	// overloadHalfLife is the time, in milliseconds, in which half of a reported load above 1 is taken to have drained.
	overloadHalfLife = 300.0
	// failureHalfLife is the time, in milliseconds, in which the failure rate of a member that gets no calls halves.
	failureHalfLife = 2_000.0
	// An unreachable member is avoided for baseBackoff, in milliseconds, doubled with each consecutive failure up to maxDoublings times.
	baseBackoff  = 200.0
	maxDoublings = 5
	// jitter spreads backoffs from half to one and a half of their length.
	jitter = 0.5
	// overloadedLoad is the assumed load of a member that has just refused a call for overload.
	overloadedLoad = 1.5
	minSlowness    = 0.2
	maxSlowness    = 20.0
)

// state holds this node's observations of a member.
type state struct {
	incarnation string
	inFlight    int
	// load is the number of calls at the member divided by its slots, as of its last report at loadAt.
	load   float64
	loadAt pomelo.Millis
	// capacity is the number of calls that the member's upstream can run at the same time, as last reported; 0 before the first report.
	capacity float64
	// sentSince estimates the calls that the reported load does not include.
	sentSince int
	// slowness is the member's self time divided by the mean self time of the same route.
	slowness    float64
	samples     int
	sampledAt   pomelo.Millis
	failureRate float64
	failureAt   pomelo.Millis
	failures    int
	avoidUntil  pomelo.Millis
	draining    bool
	usedAt      pomelo.Millis
}

func newState(incarnation string) *state {
	return &state{incarnation: incarnation, slowness: 1}
}

func (s *state) recordSent() {
	s.inFlight++
	s.sentSince++
}

func (s *state) recordDone(now pomelo.Millis, a pomelo.Answer) {
	s.inFlight = max(0, s.inFlight-1)
	s.draining = a.Draining
	if a.Load > 0 || a.Refusal == nil {
		s.load = a.Load
		s.loadAt = now
		s.capacity = a.Capacity
		s.sentSince = s.inFlight / 2
	}
}

// recordAnswer updates the state from a complete answer with the upstream's self time and the route's mean self time, in milliseconds.
func (s *state) recordAnswer(now pomelo.Millis, selfTime, mean float64, status int) {
	s.failures = 0
	s.avoidUntil = 0
	failure := 0.0
	if status >= http.StatusInternalServerError {
		failure = upstreamFailureShare
	}
	s.recordFailure(now, failure)
	if failure == 0 {
		s.recordTime(now, selfTime, mean)
	}
}

// recordTimeout updates the slowness from a call that was cancelled or timed out later than its expected answer.
func (s *state) recordTimeout(now pomelo.Millis, f *pomelo.Fault, took, mean float64) {
	if f.Kind != pomelo.KindCanceled && f.Kind != pomelo.KindDeadline {
		return
	}
	if f.Ran != pomelo.RanNo && took > mean*s.slowness {
		s.recordTime(now, took, mean)
	}
}

// recordTime moves the member's slowness towards a call's time divided by its route's mean.
func (s *state) recordTime(now pomelo.Millis, took, mean float64) {
	if mean <= 0 {
		return
	}
	ratio := min(max(took/mean, minSlowness), maxSlowness)
	s.samples++
	staleness := min(float64(now-s.sampledAt)/staleAfter, 1)
	s.slowness += max(slownessWeight, 1/float64(s.samples), staleness*staleSlownessWeight) * (ratio - s.slowness)
	s.sampledAt = now
}

func (s *state) recordRefusal(now pomelo.Millis, f *pomelo.Fault, random float64) {
	switch f.Kind {
	case pomelo.KindDraining:
		s.draining = true
	case pomelo.KindOverload:
		s.load = max(s.load, overloadedLoad)
		s.loadAt = now
		s.recordFailure(now, 1)
	case pomelo.KindPeerLost, pomelo.KindNoUpstream, pomelo.KindNotAuthoritative, pomelo.KindProtocol:
		s.backOff(now, random)
		s.recordFailure(now, 1)
	case pomelo.KindUpstreamFailed, pomelo.KindDeadline, pomelo.KindInDoubt:
		s.recordFailure(now, 1)
	}
}

// recordFailure adds one call to the failure rate: 0 for a success, 1 for a failure.
func (s *state) recordFailure(now pomelo.Millis, failure float64) {
	s.failureRate = s.decayedFailureRate(now)
	s.failureRate += failureWeight * (failure - s.failureRate)
	s.failureAt = now
}

// decayedFailureRate is the moving share of failed calls, decayed by the time since its last update.
func (s *state) decayedFailureRate(now pomelo.Millis) float64 {
	return s.failureRate * math.Exp2(-float64(now-s.failureAt)/failureHalfLife)
}

// backOff avoids the member for a time that doubles with each consecutive failure; random is a number from 0 to 1.
func (s *state) backOff(now pomelo.Millis, random float64) {
	backoff := math.Ldexp(baseBackoff, min(s.failures, maxDoublings))
	s.failures++
	s.avoidUntil = now + pomelo.Millis(backoff*(1-jitter+2*jitter*random))
}

// expectedCost is the expected time, in milliseconds, until the answer to a call sent now whose route has this mean self time, plus the cost of a likely failure.
func (s *state) expectedCost(now pomelo.Millis, selfTime float64, slots int) float64 {
	u := s.estimatedLoad(now, slots)
	t := selfTime * s.slowness * (1 + math.Pow(min(u, 1), loadExponent))
	if u > 1 {
		t += (u - 1) * selfTime * s.slowness * 2
	}
	return t + failureCost*s.decayedFailureRate(now)
}

// estimatedLoad is the reported load, with its excess over 1 decayed, plus the calls that the report does not include.
func (s *state) estimatedLoad(now pomelo.Millis, slots int) float64 {
	load := s.load
	if load > 1 {
		load = 1 + (load-1)*math.Exp2(-float64(now-s.loadAt)/overloadHalfLife)
	}
	capacity := s.capacity
	if capacity == 0 {
		capacity = float64(slots)
	}
	return load + float64(s.sentSince)/max(capacity, 1)
}
