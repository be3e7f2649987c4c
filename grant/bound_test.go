package grant

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	boundSteps = 40
	boundRuns  = 150
	// rounding bounds what floating point may add over one run, in requests.
	rounding = 1e-6
)

// faults are the actions of the model; pick returns a number from 0 to n-1.
func (m *model) faults(pick func(int) int) map[string]func() {
	anyEntry := func() *entry { return m.entries[pick(len(m.entries))] }
	anyHome := func() *home { return m.homes[pick(len(m.homes))] }
	return map[string]func(){
		"steady": func() { m.load(1_000_000, 0.9) },
		"over":   func() { m.load(int64(1+pick(8))*100_000, 4) },
		"one_entry": func() {
			e := anyEntry()
			for range 1 + pick(40) {
				m.offer(e)
				m.advance(int64(pick(3)) * 1_000)
			}
		},
		"stampede": func() { m.stampede(int64(pick(40)) * 5_000) },
		// Grants are answered late, when their homes have filled up again.
		"late_grants": func() {
			m.delay = func() int64 { return int64(m.random.IntN(1_500_000)) }
			m.stampede(int64(8+pick(8)) * 100_000)
			m.delay = func() int64 { return 500 }
			m.stampede(100_000)
		},
		"idle":  func() { m.advance(int64(1+pick(30)) * 100_000) },
		"lossy": func() { m.lossy = !m.lossy },
		"slow": func() {
			m.delay = func() int64 { return int64(m.random.IntN(1_500_000)) }
		},
		"quick": func() {
			m.delay = func() int64 { return 300 + int64(m.random.IntN(700)) }
		},
		"jump":        func() { anyEntry().clock.jump += pomelo.Millis(pick(5_000)) },
		"move":        func() { m.move(pick(len(m.parts)), pick(len(m.homes))) },
		"pause":       func() { anyHome().paused = true },
		"resume":      func() { m.resume(anyHome()) },
		"lose_home":   func() { m.loseHome(pick(len(m.homes))) },
		"lose_entry":  func() { m.loseEntry(pick(len(m.entries))) },
		"pause_entry": func() { m.pauseEntry(anyEntry(), int64(pick(30))*100_000) },
		"late_act":    func() { m.lateAct(pick(len(m.parts)), anyEntry(), int64(pick(30))*100_000) },
	}
}

// load offers Poisson arrivals at a share of the rate, spread over the entries.
func (m *model) load(span int64, share float64) {
	end := m.now + span
	for m.now < end {
		m.advance(int64(m.random.ExpFloat64() * 1e6 / (m.account.Rate * share)))
		m.offer(m.entries[m.random.IntN(len(m.entries))])
	}
}

// stampede offers the whole burst at every entry at once.
func (m *model) stampede(then int64) {
	for _, e := range m.entries {
		for range int(m.account.Burst) {
			m.offer(e)
		}
	}
	m.advance(then)
}

func (m *model) resume(h *home) {
	h.paused = false
	work := h.work
	h.work = nil
	for _, f := range work {
		m.at(h, f)
	}
}

// loseHome ends a process; its parts go to others once its standing has ended.
func (m *model) loseHome(i int) {
	h := m.homes[i]
	h.book = New(m.random.Uint64())
	h.work = nil
	h.paused = false
	for part, t := range m.parts {
		if t.home == i {
			m.move(part, (i+1+part)%len(m.homes))
		}
	}
}

func (m *model) loseEntry(i int) {
	e := m.entries[i]
	e.pool = m.freshPool()
	e.waiters = nil
}

// pauseEntry lets time pass in which only this entry does nothing, and then a request takes what is left there.
func (m *model) pauseEntry(e *entry, d int64) {
	m.advance(d)
	m.offer(e)
}

// lateAct is a home that checks its standing, pauses, and then gives; what was asked for counts from before.
func (m *model) lateAct(part int, e *entry, d int64) {
	t := m.parts[part]
	h := m.homes[t.home]
	if h.paused {
		return
	}
	asked := m.read(e.clock)
	a := pomelo.GrantRequest{Account: m.account.Name, Shard: part, Shards: len(m.parts), Tokens: 2, TTL: LongestTTL}
	held := pomelo.Millis(float64(m.now-t.took) / microsAMilli)
	h.paused = true
	m.advance(d)
	g := h.book.Draw(m.steady(h.clock), t.since, held, m.right(part), pomelo.ShardOf(m.account), a)
	e.pool.Got(asked, m.read(e.clock), a.TTL, g)
	m.resume(h)
}

func TestBoundOverAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := pomelo.ClientAccount{Name: "growers"}
		a.Rate = rapid.SampledFrom([]float64{2, 20, 200}).Draw(t, "rate")
		a.Burst = rapid.SampledFrom([]float64{1, 5, 10, 40, 200}).Draw(t, "burst")
		m := newModel(rapid.Uint64().Draw(t, "seed"), a, 3, 3, plantNone)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		actions := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if x := m.excess(a.Rate, a.Burst); x > rounding {
				t.Fatalf("%f requests over the bound", x)
			}
		}}
		for name, f := range m.faults(pick) {
			actions[name] = func(*rapid.T) { f() }
		}
		t.Repeat(actions)
	})
}

func scripted(seed uint64, p plant) *model {
	script := rand.New(rand.NewPCG(seed, 1))
	a := pomelo.ClientAccount{Name: "growers", Rate: 50, Burst: []float64{5, 10, 40}[script.IntN(3)]}
	m := newModel(seed, a, 3, 3, p)
	actions := m.faults(script.IntN)
	names := slices.Sorted(maps.Keys(actions))
	for range boundSteps {
		actions[names[script.IntN(len(names))]]()
	}
	return m
}

func TestPlantedFaults(t *testing.T) {
	for _, p := range []plant{plantNoWait, plantFromAnswer, plantForgets, plantKeeps} {
		convey.Convey("The checker finds "+string(p), t, func() {
			found := 0
			for seed := range uint64(boundRuns) {
				m := scripted(seed, p)
				if m.excess(m.account.Rate, m.account.Burst) > rounding {
					found++
				}
			}
			t.Logf("%s: %d of %d runs over the bound", p, found, boundRuns)
			convey.So(found, convey.ShouldBeGreaterThan, 0)
		})
	}
	convey.Convey("The same scripts without a fault keep the bound and admit requests", t, func() {
		admitted, refused := 0, 0
		for seed := range uint64(boundRuns) {
			m := scripted(seed, plantNone)
			convey.So(m.excess(m.account.Rate, m.account.Burst), convey.ShouldBeLessThanOrEqualTo, rounding)
			admitted += len(m.admitted)
			refused += len(m.refused)
		}
		t.Logf("%d admitted, %d refused", admitted, refused)
		convey.So(admitted, convey.ShouldBeGreaterThan, 0)
	})
}
