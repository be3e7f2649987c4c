package place

import (
	"math"
	"net/http"

	"github.com/pomeloworks/pomelo"
)

const (
	speedWeight = 0.05
	// rareWeight is the weight of an answer that comes sampleAge, in milliseconds, after the one before.
	rareWeight    = 0.3
	sampleAge     = 3_000.0
	failureWeight = 0.1
	// failureCost is what a certain failure would cost, in milliseconds: about another try after a wait.
	failureCost = 1_500.0
	// brokenShare is how much an upstream's own failure tells of it: the cause may lie in a service that it calls.
	brokenShare = 0.25
	// fullness is the power with which a filling upstream slows down.
	fullness = 6
	// loadHalf is how long, in milliseconds, half of a reported overload is believed.
	loadHalf = 300.0
	// failureHalf is how long, in milliseconds, it takes to forget half of the failures of a member that gets no calls.
	failureHalf = 2_000.0
	// A member that can't be reached is avoided for failurePause, in milliseconds, doubled with each failure in a row up to mostDoublings times.
	failurePause  = 200.0
	mostDoublings = 5
	// jitter spreads pauses from half to one and a half of their length.
	jitter = 0.5
	// refusedLoad is the load of a member whose queue has just refused a call.
	refusedLoad = 1.5
	leastSpeed  = 0.2
	mostSpeed   = 20.0
)

// state is what this node has seen of a member.
type state struct {
	incarnation string
	outstanding int
	// load is the calls at the member by its slots when it last answered.
	load   float64
	loadAt pomelo.Millis
	// since counts the calls sent since then.
	since int
	// slow is the member's time by the mean time of the same calls.
	slow      float64
	samples   int
	sampledAt pomelo.Millis
	failure   float64
	failedAt  pomelo.Millis
	failures  int
	avoided   pomelo.Millis
	draining  bool
	last      pomelo.Millis
}

func newState(incarnation string) *state {
	return &state{incarnation: incarnation, slow: 1}
}

func (s *state) sent() {
	s.outstanding++
	s.since++
}

func (s *state) ended(now pomelo.Millis, a pomelo.Answer) {
	s.outstanding = max(0, s.outstanding-1)
	s.draining = a.Draining
	if a.Load > 0 || a.Refusal == nil {
		s.load = a.Load
		s.loadAt = now
		s.since = s.outstanding / 2
	}
}

// answered takes a whole answer that the upstream worked on for own milliseconds.
func (s *state) answered(now pomelo.Millis, own, mean float64, status int) {
	s.failures = 0
	s.avoided = 0
	failed := 0.0
	if status >= http.StatusInternalServerError {
		failed = brokenShare
	}
	s.fail(now, failed)
	if failed == 0 {
		s.learn(now, own, mean)
	}
}

// unanswered takes a call that was given up, or ran out of time, later than it should have been answered.
func (s *state) unanswered(now pomelo.Millis, f *pomelo.Fault, took, mean float64) {
	if f.Kind != pomelo.KindCanceled && f.Kind != pomelo.KindDeadline {
		return
	}
	if f.Ran != pomelo.RanNo && took > mean*s.slow {
		s.learn(now, took, mean)
	}
}

// learn moves the member's slowness towards a call's time by the mean of its like.
func (s *state) learn(now pomelo.Millis, took, mean float64) {
	if mean <= 0 {
		return
	}
	ratio := min(max(took/mean, leastSpeed), mostSpeed)
	s.samples++
	idle := min(float64(now-s.sampledAt)/sampleAge, 1)
	s.slow += max(speedWeight, 1/float64(s.samples), idle*rareWeight) * (ratio - s.slow)
	s.sampledAt = now
}

func (s *state) refused(now pomelo.Millis, f *pomelo.Fault, random float64) {
	switch f.Kind {
	case pomelo.KindDraining:
		s.draining = true
	case pomelo.KindOverload:
		s.load = max(s.load, refusedLoad)
		s.loadAt = now
		s.fail(now, 1)
	case pomelo.KindPeerLost, pomelo.KindNoUpstream, pomelo.KindProtocol:
		s.avoid(now, random)
		s.fail(now, 1)
	case pomelo.KindUpstreamFailed, pomelo.KindDeadline, pomelo.KindInDoubt:
		s.fail(now, 1)
	}
}

func (s *state) fail(now pomelo.Millis, failed float64) {
	s.failure = s.failing(now)
	s.failure += failureWeight * (failed - s.failure)
	s.failedAt = now
}

// failing is the share of failures, of which half is forgotten after a while without calls.
func (s *state) failing(now pomelo.Millis) float64 {
	return s.failure * math.Exp2(-float64(now-s.failedAt)/failureHalf)
}

func (s *state) avoid(now pomelo.Millis, random float64) {
	pause := math.Ldexp(failurePause, min(s.failures, mostDoublings))
	s.failures++
	s.avoided = now + pomelo.Millis(pause*(1-jitter+2*jitter*random))
}

// expected is when an answer sent for now can be had, in milliseconds, for a call that takes run on average.
func (s *state) expected(now pomelo.Millis, run float64, slots int) float64 {
	u := s.fill(now, slots)
	t := run * s.slow * (1 + math.Pow(min(u, 1), fullness))
	if u > 1 {
		t += (u - 1) * run * s.slow * 2
	}
	return t + failureCost*s.failing(now)
}

// fill is the member's load by now: the reported one, an excess of which drains, and what was sent since.
func (s *state) fill(now pomelo.Millis, slots int) float64 {
	load := s.load
	if load > 1 {
		load = 1 + (load-1)*math.Exp2(-float64(now-s.loadAt)/loadHalf)
	}
	return load + float64(s.since)/float64(max(slots, 1))
}
