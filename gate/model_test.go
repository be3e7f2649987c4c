package gate

import (
	"fmt"
	"math/rand/v2"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/rank"
)

// stream is one account's calls of one importance; rate is in calls a millisecond.
type stream struct {
	account    string
	importance int
	rate       float64
}

type callCounts struct {
	offered, served, refused, late int
}

type runningCall struct {
	call   pomelo.Call
	permit pomelo.Permit
	until  pomelo.Millis
}

// model drives a limiter with a manual clock in front of an upstream with a fixed service time.
type model struct {
	clock   *clock.Clock
	limiter *Limiter
	random  *rand.Rand
	service pomelo.Millis
	timeout pomelo.Millis
	calls   int
	waiting map[*waiter]pomelo.Call
	running []runningCall
	counts  map[stream]*callCounts
	refused map[string]bool
	// inversions counts the refusals while a less important call waited.
	inversions int
}

func newModel(slots int, service, timeout pomelo.Millis, opts ...func(*Limiter)) *model {
	c := clock.New(clock.WithManual(1_000))
	m := &model{
		clock:   c,
		limiter: New(c, opts...),
		random:  rand.New(rand.NewPCG(1, 1)),
		service: service,
		timeout: timeout,
		waiting: map[*waiter]pomelo.Call{},
		counts:  map[stream]*callCounts{},
		refused: map[string]bool{},
	}
	m.limiter.SetCapacity(slots, slots)
	return m
}

func (m *model) run(d pomelo.Millis, streams []stream) {
	for range d {
		m.clock.Advance(1)
		m.endCalls()
		for _, s := range streams {
			for n := s.rate; m.random.Float64() < n; n-- {
				m.arrive(s)
			}
		}
		m.receiveDecisions()
	}
}

func (m *model) arrive(s stream) {
	m.calls++
	id := fmt.Sprint(m.calls)
	c := pomelo.Call{ID: id, RootID: id, Account: s.account, Importance: s.importance, Deadline: m.clock.Now() + m.timeout}
	m.count(c).offered++
	w, err := m.limiter.admitOrQueue(m.clock.Now(), c)
	switch {
	case err != nil:
		m.refuse(c)
	case w == nil:
		m.start(c)
	default:
		m.waiting[w] = c
	}
}

func (m *model) receiveDecisions() {
	for w, c := range m.waiting {
		select {
		case err := <-w.decision:
			delete(m.waiting, w)
			if err != nil {
				m.refuse(c)
				continue
			}
			m.start(c)
		default:
		}
	}
}

func (m *model) start(c pomelo.Call) {
	m.running = append(m.running, runningCall{call: c, permit: m.limiter.newPermit(), until: m.clock.Now() + m.service})
}

func (m *model) endCalls() {
	var remaining []runningCall
	for _, r := range m.running {
		if m.clock.Now() < r.until {
			remaining = append(remaining, r)
			continue
		}
		r.permit.Release(m.service, true)
		m.count(r.call).served++
		if m.clock.Now() > r.call.Deadline {
			m.count(r.call).late++
		}
	}
	m.running = remaining
}

func (m *model) refuse(c pomelo.Call) {
	m.count(c).refused++
	m.refused[c.RootID] = true
	if l := m.limiter.queue.lowestImportance(); l < c.Importance && l < rank.Levels {
		m.inversions++
	}
}

func (m *model) count(c pomelo.Call) *callCounts {
	s := stream{account: c.Account, importance: c.Importance}
	if m.counts[s] == nil {
		m.counts[s] = &callCounts{}
	}
	return m.counts[s]
}

func (m *model) served() int {
	n := 0
	for _, c := range m.counts {
		n += c.served - c.late
	}
	return n
}
