package gate

import (
	"fmt"
	"math/rand/v2"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/rank"
)

// stream is one account's calls of one importance, in calls a millisecond.
type stream struct {
	account    string
	importance int
	rate       float64
}

type count struct {
	offered, served, refused, late int
}

type running struct {
	call  pomelo.Call
	pass  pomelo.Permit
	until pomelo.Millis
}

// model runs a gate by a manual clock before an upstream with a fixed service time.
type model struct {
	clock   *clock.Clock
	gate    *Gate
	random  *rand.Rand
	service pomelo.Millis
	timeout pomelo.Millis
	calls   int
	waiting map[*waiter]pomelo.Call
	running []running
	counts  map[stream]*count
	refused map[string]bool
	// unjust counts the refusals while a less important call waited.
	unjust int
}

func newModel(slots int, service, timeout pomelo.Millis, opts ...func(*Gate)) *model {
	c := clock.New(clock.WithManual(1_000))
	m := &model{
		clock:   c,
		gate:    New(c, opts...),
		random:  rand.New(rand.NewPCG(1, 1)),
		service: service,
		timeout: timeout,
		waiting: map[*waiter]pomelo.Call{},
		counts:  map[stream]*count{},
		refused: map[string]bool{},
	}
	m.gate.SetCapacity(slots, slots)
	return m
}

func (m *model) run(d pomelo.Millis, streams []stream) {
	for range d {
		m.clock.Advance(1)
		m.end()
		for _, s := range streams {
			for n := s.rate; m.random.Float64() < n; n-- {
				m.arrive(s)
			}
		}
		m.collect()
	}
}

func (m *model) arrive(s stream) {
	m.calls++
	id := fmt.Sprint(m.calls)
	c := pomelo.Call{ID: id, RootID: id, Account: s.account, Importance: s.importance, Deadline: m.clock.Now() + m.timeout}
	m.count(c).offered++
	w, err := m.gate.arrive(m.clock.Now(), c)
	switch {
	case err != nil:
		m.refuse(c)
	case w == nil:
		m.start(c)
	default:
		m.waiting[w] = c
	}
}

func (m *model) collect() {
	for w, c := range m.waiting {
		select {
		case err := <-w.turn:
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
	m.running = append(m.running, running{call: c, pass: m.gate.pass(), until: m.clock.Now() + m.service})
}

func (m *model) end() {
	var left []running
	for _, r := range m.running {
		if m.clock.Now() < r.until {
			left = append(left, r)
			continue
		}
		r.pass.Release(m.service, true)
		m.count(r.call).served++
		if m.clock.Now() > r.call.Deadline {
			m.count(r.call).late++
		}
	}
	m.running = left
}

func (m *model) refuse(c pomelo.Call) {
	m.count(c).refused++
	m.refused[c.RootID] = true
	if l := m.gate.queue.lowest(); l < c.Importance && l < rank.Levels {
		m.unjust++
	}
}

func (m *model) count(c pomelo.Call) *count {
	s := stream{account: c.Account, importance: c.Importance}
	if m.counts[s] == nil {
		m.counts[s] = &count{}
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
