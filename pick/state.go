package pick

import (
	"math"

	"github.com/pomeloworks/pomelo"
)

const (
	// timeWeight is the minimum weight of one answer in a member's response time.
	timeWeight = 0.2
	// minTimeRise is the share of the distance to the mean by which one answer raises the minimum response time; a lower mean replaces the minimum at once.
	minTimeRise = 0.001
	// idleHalfLife is the time, in milliseconds, in which the known response time of a member without calls halves, so that it gets a call again.
	idleHalfLife = 2_000.0
	// A member that failed is avoided for baseBackoff, in milliseconds, doubled with each consecutive failure up to maxDoublings times.
	baseBackoff  = 200.0
	maxDoublings = 5
	// overloadBackoff is the time, in milliseconds, for which a member that refused a call for overload is avoided.
	overloadBackoff = 50.0
	// jitter spreads backoffs from half to one and a half of their length.
	jitter = 0.5
)

// state holds this node's observations of a member; times are in milliseconds.
type state struct {
	incarnation  string
	inFlight     int
	responseTime float64
	minTime      float64
	sampledAt    pomelo.Millis
	failures     int
	avoidUntil   pomelo.Millis
	draining     bool
}

// recordTime updates the response time from one answer, whose weight grows with the time since the previous one.
func (s *state) recordTime(now pomelo.Millis, d pomelo.Millis) {
	t := max(float64(d), 1)
	weight := max(timeWeight, 1-s.retained(now))
	if s.responseTime == 0 {
		weight = 1
		s.minTime = t
	}
	s.sampledAt = now
	s.responseTime += weight * (t - s.responseTime)
	s.minTime = min(s.responseTime, s.minTime+minTimeRise*(s.responseTime-s.minTime))
}

// retained is the share of the response time that has not decayed since the last answer.
func (s *state) retained(now pomelo.Millis) float64 {
	return math.Exp2(-float64(now-s.sampledAt) / idleHalfLife)
}

// expectedTime is the expected response time of a call sent now, which grows with this node's calls in flight; a member without answers counts with defaultTime.
func (s *state) expectedTime(now pomelo.Millis, slots int, defaultTime float64) float64 {
	t := defaultTime
	if s.responseTime > 0 {
		t = s.responseTime * s.retained(now)
	}
	return t * (1 + float64(s.inFlight)/float64(max(slots, 1)))
}

// avoid excludes the member for a backoff with jitter; random is a number from 0 to 1.
func (s *state) avoid(now pomelo.Millis, backoff, random float64) {
	s.avoidUntil = now + pomelo.Millis(backoff*(1-jitter+2*jitter*random))
}

func (s *state) recordFailure(now pomelo.Millis, random float64) {
	doublings := min(s.failures, maxDoublings)
	s.failures++
	s.avoid(now, math.Ldexp(baseBackoff, doublings), random)
}
