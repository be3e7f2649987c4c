package place

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// zoneCrossingCost is the time, in milliseconds, that a call to another availability zone must save: a round trip, and about a kilobyte of headers each way over scarce links.
	zoneCrossingCost = 30.0
	// zoneCrossingCostPerKB is the time, in milliseconds, that each kilobyte sent between availability zones must save, because transfers between zones are scarce.
	zoneCrossingCostPerKB = 5.0
	// initialAnswerKB is the assumed size of a route's answer before the first one arrives.
	initialAnswerKB = 1.0
	// selfTimeWeight and answerSizeWeight are the weights of one call in the moving averages of a route's self time and answer size.
	selfTimeWeight   = 0.05
	answerSizeWeight = 0.05
	// initialSelfTime is a route's assumed mean self time before its first answer, in milliseconds.
	initialSelfTime = 100.0
	// maxCandidates is the maximum number of members compared for one call.
	maxCandidates = 3
	// exploreShare of the calls go to a random candidate, unless their body is larger than maxExploreBytes.
	exploreShare    = 0.03
	maxExploreBytes = 4 << 10
	// maxStates bounds the states kept of members that may have been removed: from there on, states unused for stateTTL, in milliseconds, are evicted.
	maxStates  = 4096
	stateTTL   = pomelo.Millis(60_000)
	bytesPerKB = 1024
)

// Placer implements pomelo.Picker by expected response time.
type Placer struct {
	clock  pomelo.Clock
	zone   string
	mu     sync.Mutex
	random *rand.Rand
	states map[string]*state
	routes map[string]*route
}

// route holds moving averages over all members of the calls of one route: self time in milliseconds and answer size in kilobytes.
type route struct {
	selfTime float64
	answerKB float64
}

var _ pomelo.Picker = (*Placer)(nil)

// New returns a placer for a node in this zone; its choices are the same for the same seed, calls and times.
func New(clock pomelo.Clock, zone string, seed uint64, opts ...func(*Placer)) *Placer {
	p := &Placer{
		clock:  clock,
		zone:   zone,
		random: rand.New(rand.NewPCG(seed, seed)),
		states: map[string]*state{},
		routes: map[string]*route{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Pick chooses among the members whose VMs are not in tried; it returns false when none remains.
func (p *Placer) Pick(c pomelo.Call, members []pomelo.Member, tried []string) (pomelo.Member, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.eligible(now, members, tried)
	if len(candidates) == 0 {
		return pomelo.Member{}, false
	}
	best := candidates[0]
	if len(c.Body) <= maxExploreBytes && p.random.Float64() < exploreShare {
		// Only a trial call shows the present speed of a member that gets no calls.
		return best, true
	}
	minCost := p.cost(now, c, best)
	for _, m := range candidates[1:] {
		if k := p.cost(now, c, m); k < minCost {
			best = m
			minCost = k
		}
	}
	return best, true
}

// eligible returns a few untried members in random order, without those that are draining or to be avoided if others remain.
func (p *Placer) eligible(now pomelo.Millis, members []pomelo.Member, tried []string) []pomelo.Member {
	var preferred, fallback []pomelo.Member
	for _, m := range members {
		if slices.Contains(tried, m.VM) {
			continue
		}
		if s := p.state(now, m); s.draining || now < s.avoidUntil {
			fallback = append(fallback, m)
		} else {
			preferred = append(preferred, m)
		}
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	p.random.Shuffle(len(preferred), func(i, j int) { preferred[i], preferred[j] = preferred[j], preferred[i] })
	return p.truncate(preferred)
}

// truncate keeps maxCandidates members, at least one of them in the node's own zone if there is any.
func (p *Placer) truncate(members []pomelo.Member) []pomelo.Member {
	if len(members) <= maxCandidates {
		return members
	}
	at := slices.IndexFunc(members, func(m pomelo.Member) bool { return m.AvailabilityZone == p.zone })
	if at >= maxCandidates {
		members[0], members[at] = members[at], members[0]
	}
	return members[:maxCandidates]
}

// cost is the expected time until the member's answer, in milliseconds, plus the costs of its failures and of leaving the zone.
func (p *Placer) cost(now pomelo.Millis, c pomelo.Call, m pomelo.Member) float64 {
	s := p.state(now, m)
	r := p.route(c.RouteName)
	k := s.expectedCost(now, r.selfTime, m.Slots)
	if m.AvailabilityZone != p.zone {
		k += zoneCrossingCost + zoneCrossingCostPerKB*(r.answerKB+float64(len(c.Body))/bytesPerKB)
	}
	return k
}

// Sent counts a call to the member as in flight.
func (p *Placer) Sent(m pomelo.Member) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(now, m).recordSent()
}

// Done updates the member's load, speed and failure rate from the answer; a call without an answer within took milliseconds gives a lower bound of its time.
func (p *Placer) Done(m pomelo.Member, c pomelo.Call, took pomelo.Millis, a pomelo.Answer) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, m)
	s.recordDone(now, a)
	r := p.route(c.RouteName)
	if a.Refusal != nil {
		s.recordRefusal(now, a.Refusal, p.random.Float64())
		s.recordTimeout(now, a.Refusal, float64(took), r.selfTime)
		return
	}
	s.recordAnswer(now, float64(a.SelfTime), r.selfTime, a.Status)
	r.selfTime += selfTimeWeight * (float64(a.SelfTime) - r.selfTime)
	r.answerKB += answerSizeWeight * (float64(len(a.Body))/bytesPerKB - r.answerKB)
}

func (p *Placer) route(name string) *route {
	r := p.routes[name]
	if r == nil {
		r = &route{selfTime: initialSelfTime, answerKB: initialAnswerKB}
		p.routes[name] = r
	}
	return r
}

// state returns the member's state, which is reset when the VM's process has been replaced.
func (p *Placer) state(now pomelo.Millis, m pomelo.Member) *state {
	s := p.states[m.VM]
	if s == nil || s.incarnation != m.Incarnation {
		p.evict(now)
		s = newState(m.Incarnation)
		p.states[m.VM] = s
	}
	s.usedAt = now
	return s
}

func (p *Placer) evict(now pomelo.Millis) {
	if len(p.states) < maxStates {
		return
	}
	for vm, s := range p.states {
		if s.inFlight == 0 && now-s.usedAt > stateTTL {
			delete(p.states, vm)
		}
	}
}
