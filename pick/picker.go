package pick

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// crossing is what another zone must be faster by, in milliseconds, observed time and all.
	crossing = 1.0
	// mostStates bounds what is kept of members that may be gone; forgetAfter is how long it is kept then.
	mostStates  = 4096
	forgetAfter = pomelo.Millis(60_000)
)

// Picker implements pomelo.Picker by two random choices.
type Picker struct {
	clock  pomelo.Clock
	zone   string
	mu     sync.Mutex
	random *rand.Rand
	states map[string]*state
}

// New returns a picker whose choices repeat for the same seed and times.
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

// Pick leaves out the tried VMs; false means that nothing is left.
func (p *Picker) Pick(_ pomelo.Call, members []pomelo.Member, tried []string) (pomelo.Member, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.usable(now, members, tried)
	if len(left) == 0 {
		return pomelo.Member{}, false
	}
	near, far := p.split(left)
	if len(near) == 0 {
		return p.better(now, far, 0), true
	}
	a := p.better(now, near, 0)
	if len(far) == 0 {
		return a, true
	}
	unknown := p.state(a).least
	b := p.better(now, far, unknown)
	if p.expected(now, a, 0) > p.expected(now, b, unknown)+crossing {
		return b, true
	}
	return a, true
}

// Sent counts a call as outstanding.
func (p *Picker) Sent(m pomelo.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(m).outstanding++
}

// Done ends what Sent began and learns from the answer, which took so many milliseconds.
func (p *Picker) Done(m pomelo.Member, _ pomelo.Call, took pomelo.Millis, a pomelo.Answer) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(m)
	s.outstanding = max(0, s.outstanding-1)
	if a.Draining {
		s.draining = true
	}
	if a.Refusal == nil {
		s.failures = 0
		s.took(now, took)
		return
	}
	p.learnRefusal(now, s, took, a.Refusal)
}

func (p *Picker) learnRefusal(now pomelo.Millis, s *state, took pomelo.Millis, f *pomelo.Fault) {
	switch f.Kind {
	case pomelo.KindDraining:
		s.draining = true
	case pomelo.KindOverload:
		s.avoid(now, refusalPause, p.random.Float64())
	case pomelo.KindPeerLost, pomelo.KindUpstreamFailed, pomelo.KindProtocol, pomelo.KindNoUpstream:
		s.fail(now, p.random.Float64())
	default:
		// A call that ran out of time shows at least how slow the member is.
		if f.Ran != pomelo.RanNo {
			s.took(now, took)
		}
	}
}

// usable leaves out the tried, and if others remain also those that leave, and those to be avoided.
func (p *Picker) usable(now pomelo.Millis, members []pomelo.Member, tried []string) []pomelo.Member {
	left := make([]pomelo.Member, 0, len(members))
	for _, m := range members {
		if !slices.Contains(tried, m.VM) {
			left = append(left, m)
		}
	}
	left = p.without(left, func(s *state) bool { return s.draining })
	return p.without(left, func(s *state) bool { return now < s.avoided })
}

func (p *Picker) without(members []pomelo.Member, out func(*state) bool) []pomelo.Member {
	kept := make([]pomelo.Member, 0, len(members))
	for _, m := range members {
		if !out(p.state(m)) {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		return members
	}
	return kept
}

func (p *Picker) split(members []pomelo.Member) (near, far []pomelo.Member) {
	for _, m := range members {
		if p.zone == "" || m.AvailabilityZone == p.zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// better is the better of two random members.
func (p *Picker) better(now pomelo.Millis, members []pomelo.Member, unknown float64) pomelo.Member {
	a := members[p.random.IntN(len(members))]
	if len(members) == 1 {
		return a
	}
	b := members[p.random.IntN(len(members))]
	if p.expected(now, b, unknown) < p.expected(now, a, unknown) {
		return b
	}
	return a
}

func (p *Picker) expected(now pomelo.Millis, m pomelo.Member, unknown float64) float64 {
	return p.state(m).expected(now, m.Slots, unknown)
}

// state is begun anew when the VM comes back as another incarnation.
func (p *Picker) state(m pomelo.Member) *state {
	s := p.states[m.VM]
	if s == nil || s.incarnation != m.Incarnation {
		p.forget()
		s = &state{incarnation: m.Incarnation}
		p.states[m.VM] = s
	}
	return s
}

func (p *Picker) forget() {
	if len(p.states) < mostStates {
		return
	}
	now := p.clock.Now()
	for vm, s := range p.states {
		if s.outstanding == 0 && now-s.last > forgetAfter {
			delete(p.states, vm)
		}
	}
}
