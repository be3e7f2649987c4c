package shed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/gate"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/pick"
	"github.com/pomeloworks/pomelo/ratio"
	"github.com/pomeloworks/pomelo/send"
	"github.com/pomeloworks/pomelo/shed"
)

const (
	hop          = time.Millisecond
	modelRetries = 2
	depth        = 3
	// settling lets the last requests end.
	settling = 10 * time.Second
)

// model runs the real gates, ledgers, senders and shedders of a fleet in a bubble of simulated time; network and upstreams are made up.
type model struct {
	clock  pomelo.Clock
	began  pomelo.Millis
	limits pomelo.LimitSettings
	nodes  map[string]*modelNode
	order  []*modelNode

	mu      sync.Mutex
	random  *rand.Rand
	slow    float64
	started int
	ended   int
	calls   int
	tallies map[string][]pomelo.LoadSecond
	// answers counts whole answers by the second in which they came.
	answers  [60]int
	attempts int
}

func newModel(off ...string) *model {
	m := &model{
		clock:   clock.New(),
		nodes:   map[string]*modelNode{},
		random:  rand.New(rand.NewPCG(1, 1)),
		slow:    1,
		tallies: map[string][]pomelo.LoadSecond{},
	}
	m.began = m.clock.Now()
	m.limits = pomelo.DefaultLimits()
	m.limits.Disabled = off
	m.addService("front", 2, 50, 3, "middle")
	m.addService("middle", 2, 50, 3, "sensors")
	m.addService("sensors", sensorCount, sensorSlots, float64(sensorTime), "")
	return m
}

func (m *model) addService(service string, count, slots int, serviceTime float64, below string) {
	for i := range count {
		n := &modelNode{model: m, below: below, time: serviceTime, slots: make(chan struct{}, slots)}
		n.member = pomelo.Member{VM: fmt.Sprint(service, i), Service: service, Slots: slots, AvailabilityZone: fmt.Sprint(i)}
		n.gate = gate.New(m.clock, gate.WithSettings(m.limits), gate.WithSeed(uint64(i)))
		n.gate.SetCapacity(slots, 10*slots)
		n.ledger = ledger.New(m.clock)
		picker := pick.New(m.clock, uint64(len(m.order)), pick.WithAvailabilityZone(n.member.AvailabilityZone))
		n.sender = send.New(m.clock, modelMembers{model: m, self: n.member}, picker, m, n, silent{}, send.WithRetryBudget(ratio.New(m.clock)))
		n.shedder = n.sender
		if !m.limits.IsDisabled(pomelo.FeatureEntryShedding) {
			n.shedder = shed.New(m.clock, n.sender, metric.New(), shed.WithSeed(uint64(len(m.order))))
		}
		m.nodes[n.member.VM] = n
		m.order = append(m.order, n)
	}
}

// Send carries a call over a network with a delay.
func (m *model) Send(ctx context.Context, to pomelo.Member, c pomelo.Call) pomelo.Answer {
	time.Sleep(hop)
	a := m.nodes[to.VM].Handle(ctx, c)
	time.Sleep(hop)
	if ctx.Err() != nil {
		f := pomelo.NewFault(pomelo.KindCanceled, "given up", "none")
		f.Ran = pomelo.RanUnknown
		return pomelo.Refuse(c.ID, f)
	}
	return a
}

func (m *model) count(n *int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*n++
}

func (m *model) setSlow(f float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slow = f
}

// request is one caller's request, tried again at once up to three times.
func (m *model) request(second int, account string, k kind) {
	whole := false
	for range hardRetries + 1 {
		if whole = m.attempt(account, k); whole {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if whole {
		m.answers[(m.clock.Now()-m.began)/millisInSecond]++
	}
	for _, name := range []string{"total", k.path, account} {
		t := m.tallies[name]
		for len(t) <= second {
			t = append(t, pomelo.LoadSecond{Second: len(t)})
		}
		t[second].Offered++
		if whole {
			t[second].Complete++
		}
		m.tallies[name] = t
	}
}

func (m *model) attempt(account string, k kind) bool {
	m.mu.Lock()
	m.calls++
	m.attempts++
	id := fmt.Sprint("root-", m.calls)
	entry := m.order[m.random.IntN(len(m.order))]
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout.Duration())
	defer cancel()
	c := pomelo.Call{
		ID: id, RootID: id, Account: account, Service: "front",
		RouteName: k.method + " " + k.path, Importance: k.importance, NonIdempotent: k.method == "POST",
		RetriesLeft: modelRetries, Deadline: m.clock.Now() + requestTimeout,
	}
	a := entry.shedder.Handle(ctx, c)
	return a.Refusal == nil && a.Status == http.StatusOK && ctx.Err() == nil
}

// run offers rate(account) times its usual part of the load, in total requests a second, from the current time on.
func (m *model) run(from, to pomelo.Millis, rate func(account string) float64) {
	var running sync.WaitGroup
	for at := from; at < to; at++ {
		for i, a := range accounts {
			share := 1.0 / 12
			if i < 2 {
				share = 1.0 / 4
			}
			for _, k := range kinds() {
				expected := capacity * usualShare * share * k.share * rate(a) / millisInSecond
				if m.draw() < expected {
					running.Go(func() { m.request(int(at/millisInSecond), a, k) })
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func (m *model) draw() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64()
}

func usual(string) float64 { return 1 }

func everyone(string) float64 { return surgeFactor }

func oneSurges(account string) float64 {
	if account == accounts[0] {
		return 6
	}
	return 1
}

func (m *model) share(name string, from, to int) float64 {
	return wholeShare(m.tallies[name], from, to)
}
