package place

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// crossing is what a call to another availability zone has to save, in milliseconds: the way there and back, and about a kilobyte of heads each way on links that are scarce.
	crossing = 30.0
	// crossingPerKB is what a kilobyte over the border of a zone has to save, in milliseconds: transfers between zones are scarce.
	crossingPerKB = 5.0
	// assumedAnswer is taken for the answer's size, in kilobytes, before any has come.
	assumedAnswer = 1.0
	// runWeight and sizeWeight are how fast a route's mean time and size follow its calls.
	runWeight  = 0.05
	sizeWeight = 0.05
	// firstRun is a route's time before its first answer, in milliseconds.
	firstRun = 100.0
	// candidates is how many members are compared where there are more.
	candidates = 3
	// exploreShare of the calls go to any candidate, unless their body is larger than exploreMost bytes.
	exploreShare = 0.03
	exploreMost  = 4 << 10
	// mostStates bounds what is kept of members that may be gone; forgetAfter is how long, in milliseconds, it is kept then.
	mostStates  = 4096
	forgetAfter = pomelo.Millis(60_000)
	bytesPerKB  = 1024
)

// Placer implements pomelo.Picker.
type Placer struct {
	clock  pomelo.Clock
	zone   string
	mu     sync.Mutex
	random *rand.Rand
	states map[string]*state
	routes map[string]*route
}

// route is what is known of one kind of call, over all members.
type route struct {
	run    float64
	answer float64
}

var _ pomelo.Picker = (*Placer)(nil)

// New returns a placer for a node in this zone whose choices repeat for the same seed and times.
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

// Pick leaves out the tried VMs; false means that nothing is left.
func (p *Placer) Pick(c pomelo.Call, members []pomelo.Member, tried []string) (pomelo.Member, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.usable(now, members, tried)
	if len(left) == 0 {
		return pomelo.Member{}, false
	}
	best := left[0]
	if len(c.Body) <= exploreMost && p.random.Float64() < exploreShare {
		// What a member that gets no calls can do now is known by trying alone.
		return best, true
	}
	least := p.cost(now, c, best)
	for _, m := range left[1:] {
		if k := p.cost(now, c, m); k < least {
			best = m
			least = k
		}
	}
	return best, true
}

// usable draws the candidates: those that neither leave nor failed lately, if there are any.
func (p *Placer) usable(now pomelo.Millis, members []pomelo.Member, tried []string) []pomelo.Member {
	var good, poor []pomelo.Member
	for _, m := range members {
		if slices.Contains(tried, m.VM) {
			continue
		}
		if s := p.state(now, m); s.draining || now < s.avoided {
			poor = append(poor, m)
		} else {
			good = append(good, m)
		}
	}
	if len(good) == 0 {
		good = poor
	}
	p.random.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	return p.nearest(good)
}

// nearest keeps a few candidates, one of them in the own zone if there is any.
func (p *Placer) nearest(members []pomelo.Member) []pomelo.Member {
	if len(members) <= candidates {
		return members
	}
	at := slices.IndexFunc(members, func(m pomelo.Member) bool { return m.AvailabilityZone == p.zone })
	if at >= candidates {
		members[0], members[at] = members[at], members[0]
	}
	return members[:candidates]
}

// cost is the time until the member's answer, in milliseconds, with the way there and what its failures cost.
func (p *Placer) cost(now pomelo.Millis, c pomelo.Call, m pomelo.Member) float64 {
	s := p.state(now, m)
	r := p.route(c.RouteName)
	k := s.expected(now, r.run, m.Slots)
	if m.AvailabilityZone != p.zone {
		k += crossing + crossingPerKB*(r.answer+float64(len(c.Body))/bytesPerKB)
	}
	return k
}

// Sent counts a call as outstanding.
func (p *Placer) Sent(m pomelo.Member) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(now, m).sent()
}

// Done learns from the answer; one that did not come in took milliseconds shows at least how slow the member is.
func (p *Placer) Done(m pomelo.Member, c pomelo.Call, took pomelo.Millis, a pomelo.Answer) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, m)
	s.ended(now, a)
	r := p.route(c.RouteName)
	if a.Refusal != nil {
		s.refused(now, a.Refusal, p.random.Float64())
		s.unanswered(now, a.Refusal, float64(took), r.run)
		return
	}
	s.answered(now, float64(a.SelfTime), r.run, a.Status)
	r.run += runWeight * (float64(a.SelfTime) - r.run)
	r.answer += sizeWeight * (float64(len(a.Body))/bytesPerKB - r.answer)
}

func (p *Placer) route(name string) *route {
	r := p.routes[name]
	if r == nil {
		r = &route{run: firstRun, answer: assumedAnswer}
		p.routes[name] = r
	}
	return r
}

// state is begun anew when the VM comes back as another process.
func (p *Placer) state(now pomelo.Millis, m pomelo.Member) *state {
	s := p.states[m.VM]
	if s == nil || s.incarnation != m.Incarnation {
		p.forget(now)
		s = newState(m.Incarnation)
		p.states[m.VM] = s
	}
	s.last = now
	return s
}

func (p *Placer) forget(now pomelo.Millis) {
	if len(p.states) < mostStates {
		return
	}
	for vm, s := range p.states {
		if s.outstanding == 0 && now-s.last > forgetAfter {
			delete(p.states, vm)
		}
	}
}
