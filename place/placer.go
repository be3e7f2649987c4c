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
	// minKeptOrder is the number of members from which the order of a list is kept: the lists of members for a further attempt are shorter and used once.
	minKeptOrder = 8
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
	// orders are the random orders of the members of each service, kept as long as Pick is called with the same list.
	orders map[string]*order
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
		orders: map[string]*order{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Pick chooses among the members whose VMs are not in tried; it returns false when none remains. The list of members must not change after the call.
func (p *Placer) Pick(c pomelo.Call, members []pomelo.Member, tried []string) (pomelo.Member, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(now, p.order(c.Service, members), tried)
	if len(candidates) == 0 {
		return pomelo.Member{}, false
	}
	best := candidates[0]
	if len(c.Body) <= maxExploreBytes && p.random.Float64() < exploreShare {
		// Only a trial call shows the present speed of a member that gets no calls.
		return *best, true
	}
	minCost := p.cost(now, c, best)
	for _, m := range candidates[1:] {
		if k := p.cost(now, c, m); k < minCost {
			best = m
			minCost = k
		}
	}
	return *best, true
}

// order returns the random order of the list of members; that of a long list is kept for the next call.
func (p *Placer) order(service string, members []pomelo.Member) *order {
	if o := p.orders[service]; o != nil && o.isOf(members) {
		return o
	}
	o := newOrder(members, p.zone)
	if len(members) >= minKeptOrder {
		p.orders[service] = o
	}
	return o
}

// candidates returns up to maxCandidates untried members in random order, at least one of them in the node's own zone if there is any, without those that are draining or to be avoided if others remain.
func (p *Placer) candidates(now pomelo.Millis, o *order, tried []string) []*pomelo.Member {
	var fallback []*pomelo.Member
	preferred := make([]*pomelo.Member, 0, maxCandidates)
	for i := 0; i < len(o.all) && len(preferred) < maxCandidates; i++ {
		m := o.draw(p.random, o.all, i)
		switch {
		case slices.Contains(tried, m.VM):
		case p.isAvoided(now, m):
			fallback = append(fallback, m)
		default:
			preferred = append(preferred, m)
		}
	}
	if len(preferred) == 0 {
		return p.truncate(fallback)
	}
	if len(preferred) == maxCandidates && !slices.ContainsFunc(preferred, p.isNear) {
		p.replaceByNear(now, o, tried, preferred)
	}
	return preferred
}

// replaceByNear replaces the first candidate by a random member of the node's own zone that is neither tried nor avoided, if there is one.
func (p *Placer) replaceByNear(now pomelo.Millis, o *order, tried []string, candidates []*pomelo.Member) {
	for i := range o.near {
		m := o.draw(p.random, o.near, i)
		if !slices.Contains(tried, m.VM) && !p.isAvoided(now, m) {
			candidates[0] = m
			return
		}
	}
}

// truncate keeps maxCandidates members, at least one of them in the node's own zone if there is any.
func (p *Placer) truncate(members []*pomelo.Member) []*pomelo.Member {
	if len(members) <= maxCandidates {
		return members
	}
	at := slices.IndexFunc(members, p.isNear)
	if at >= maxCandidates {
		members[0], members[at] = members[at], members[0]
	}
	return members[:maxCandidates]
}

func (p *Placer) isNear(m *pomelo.Member) bool {
	return m.AvailabilityZone == p.zone
}

func (p *Placer) isAvoided(now pomelo.Millis, m *pomelo.Member) bool {
	s := p.state(now, m)
	return s.draining || now < s.avoidUntil
}

// cost is the expected time until the member's answer, in milliseconds, plus the costs of its failures and of leaving the zone.
func (p *Placer) cost(now pomelo.Millis, c pomelo.Call, m *pomelo.Member) float64 {
	s := p.state(now, m)
	r := p.route(c.RouteName)
	k := s.expectedCost(now, r.selfTime, m.Slots)
	if !p.isNear(m) {
		k += zoneCrossingCost + zoneCrossingCostPerKB*(r.answerKB+float64(len(c.Body))/bytesPerKB)
	}
	return k
}

// Sent counts a call to the member as in flight.
func (p *Placer) Sent(m pomelo.Member) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(now, &m).recordSent()
}

// Done updates the member's load, speed and failure rate from the answer; a call without an answer within took milliseconds gives a lower bound of its time.
func (p *Placer) Done(m pomelo.Member, c pomelo.Call, took pomelo.Millis, a pomelo.Answer) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, &m)
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
func (p *Placer) state(now pomelo.Millis, m *pomelo.Member) *state {
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
