package pick

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// zoneCrossingCost is the time, in milliseconds of observed response time, by which a member in another zone must be faster to be picked.
	zoneCrossingCost = 1.0
	// maxStates bounds the states kept of members that may have been removed: from there on, states unused for stateTTL, in milliseconds, are evicted.
	maxStates = 4096
	stateTTL  = pomelo.Millis(60_000)
)

// Picker implements pomelo.Picker by the power of two random choices.
type Picker struct {
	clock  pomelo.Clock
	zone   string
	mu     sync.Mutex
	random *rand.Rand
	states map[string]*state
}

// New returns a picker whose choices are the same for the same seed, calls and times.
func New(clock pomelo.Clock, seed uint64, opts ...func(*Picker)) *Picker {
	p := &Picker{
		clock:  clock,
		random: rand.New(rand.NewPCG(seed, seed)),
		states: map[string]*state{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithAvailabilityZone prefers members of this zone.
func WithAvailabilityZone(zone string) func(*Picker) {
	return func(p *Picker) { p.zone = zone }
}

// Pick chooses among the members whose VMs are not in tried; it returns false when none remains.
func (p *Picker) Pick(_ pomelo.Call, members []pomelo.Member, tried []string) (pomelo.Member, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.eligible(now, members, tried)
	if len(candidates) == 0 {
		return pomelo.Member{}, false
	}
	local, remote := p.splitByZone(candidates)
	if len(local) == 0 {
		return p.betterOfTwo(now, remote, 0), true
	}
	a := p.betterOfTwo(now, local, 0)
	if len(remote) == 0 {
		return a, true
	}
	defaultTime := p.state(a).minTime
	b := p.betterOfTwo(now, remote, defaultTime)
	if p.expectedTime(now, a, 0) > p.expectedTime(now, b, defaultTime)+zoneCrossingCost {
		return b, true
	}
	return a, true
}

// Sent counts a call to the member as in flight.
func (p *Picker) Sent(m pomelo.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(m).inFlight++
}

// Done ends a call counted by Sent and updates the member's state from the answer, which arrived after took milliseconds.
func (p *Picker) Done(m pomelo.Member, _ pomelo.Call, took pomelo.Millis, a pomelo.Answer) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(m)
	s.inFlight = max(0, s.inFlight-1)
	if a.Draining {
		s.draining = true
	}
	if a.Refusal == nil {
		s.failures = 0
		s.recordTime(now, took)
		return
	}
	p.recordRefusal(now, s, took, a.Refusal)
}

func (p *Picker) recordRefusal(now pomelo.Millis, s *state, took pomelo.Millis, f *pomelo.Fault) {
	switch f.Kind {
	case pomelo.KindDraining:
		s.draining = true
	case pomelo.KindOverload:
		s.avoid(now, overloadBackoff, p.random.Float64())
	case pomelo.KindPeerLost, pomelo.KindUpstreamFailed, pomelo.KindProtocol, pomelo.KindNoUpstream:
		s.recordFailure(now, p.random.Float64())
	default:
		// The time of a call that timed out is a lower bound of the member's response time.
		if f.Ran != pomelo.RanNo {
			s.recordTime(now, took)
		}
	}
}

// eligible returns the untried members, without those that are draining or to be avoided if others remain.
func (p *Picker) eligible(now pomelo.Millis, members []pomelo.Member, tried []string) []pomelo.Member {
	untried := make([]pomelo.Member, 0, len(members))
	for _, m := range members {
		if !slices.Contains(tried, m.VM) {
			untried = append(untried, m)
		}
	}
	untried = p.exclude(untried, func(s *state) bool { return s.draining })
	return p.exclude(untried, func(s *state) bool { return now < s.avoidUntil })
}

// exclude returns the members whose state does not match, or all members if every state matches.
func (p *Picker) exclude(members []pomelo.Member, matches func(*state) bool) []pomelo.Member {
	remaining := make([]pomelo.Member, 0, len(members))
	for _, m := range members {
		if !matches(p.state(m)) {
			remaining = append(remaining, m)
		}
	}
	if len(remaining) == 0 {
		return members
	}
	return remaining
}

func (p *Picker) splitByZone(members []pomelo.Member) (local, remote []pomelo.Member) {
	for _, m := range members {
		if p.zone == "" || m.AvailabilityZone == p.zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}

// betterOfTwo returns the faster of two random members; one without answers counts with defaultTime.
func (p *Picker) betterOfTwo(now pomelo.Millis, members []pomelo.Member, defaultTime float64) pomelo.Member {
	a := members[p.random.IntN(len(members))]
	if len(members) == 1 {
		return a
	}
	b := members[p.random.IntN(len(members))]
	if p.expectedTime(now, b, defaultTime) < p.expectedTime(now, a, defaultTime) {
		return b
	}
	return a
}

func (p *Picker) expectedTime(now pomelo.Millis, m pomelo.Member, defaultTime float64) float64 {
	return p.state(m).expectedTime(now, m.Slots, defaultTime)
}

// state returns the member's state, which is reset when the VM's process has been replaced.
func (p *Picker) state(m pomelo.Member) *state {
	s := p.states[m.VM]
	if s == nil || s.incarnation != m.Incarnation {
		p.evict()
		s = &state{incarnation: m.Incarnation}
		p.states[m.VM] = s
	}
	return s
}

func (p *Picker) evict() {
	if len(p.states) < maxStates {
		return
	}
	now := p.clock.Now()
	for vm, s := range p.states {
		if s.inFlight == 0 && now-s.sampledAt > stateTTL {
			delete(p.states, vm)
		}
	}
}
