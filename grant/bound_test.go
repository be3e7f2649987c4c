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
	boundRuns  = 600
	// roundingError bounds the floating-point error over one run, in requests.
	roundingError = 1e-6
)

// actions returns the actions of the model by name; pick returns a number from 0 to n-1.
func (m *model) actions(pick func(int) int) map[string]func() {
	anyEntry := func() *entryNode { return m.entries[pick(len(m.entries))] }
	anyOwner := func() *ownerNode { return m.owners[pick(len(m.owners))] }
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
		// Answers with grants arrive late, when their owners' buckets have filled up again.
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
		"move":        func() { m.moveShard(pick(pomelo.ShardCount(m.account)), pick(len(m.owners))) },
		"pause":       func() { anyOwner().paused = true },
		"resume":      func() { m.resume(anyOwner()) },
		"lose_home":   func() { m.loseOwner(pick(len(m.owners))) },
		"lose_entry":  func() { m.loseEntry(pick(len(m.entries))) },
		"pause_entry": func() { m.pauseEntry(anyEntry(), int64(pick(30))*100_000) },
		"late_act":    func() { m.issueLate(pick(pomelo.ShardCount(m.account)), anyEntry(), int64(pick(30))*100_000) },
	}
}

// load offers Poisson arrivals at a fraction of the rate, spread over the entry nodes.
func (m *model) load(span int64, share float64) {
	end := m.now + span
	for m.now < end {
		m.advance(int64(m.random.ExpFloat64() * 1e6 / (m.account.Rate * share)))
		m.offer(m.entries[m.random.IntN(len(m.entries))])
	}
}

// stampede offers the whole burst at every entry node at once.
func (m *model) stampede(then int64) {
	for _, e := range m.entries {
		for range int(m.account.Burst) {
			m.offer(e)
		}
	}
	m.advance(then)
}

func (m *model) resume(h *ownerNode) {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, f := range inbox {
		m.run(h, f)
	}
}

// loseOwner replaces an owner's process; its shards move to other owners once its ownership has expired.
func (m *model) loseOwner(i int) {
	h := m.owners[i]
	h.buckets = New(m.random.Uint64())
	h.inbox = nil
	h.paused = false
	for shard, t := range m.shards {
		if t.owner == i {
			m.moveShard(shard, (i+1+shard)%len(m.owners))
		}
	}
}

func (m *model) loseEntry(i int) {
	e := m.entries[i]
	e.pool = m.newPool()
	e.waiters = nil
}

// pauseEntry lets time pass without requests at this entry node, and then offers a request that uses the tokens left there.
func (m *model) pauseEntry(e *entryNode, d int64) {
	m.advance(d)
	m.offer(e)
}

// issueLate lets an owner check its ownership, pause, and then issue a grant; the request counts from before the pause.
func (m *model) issueLate(shard int, e *entryNode, d int64) {
	t := m.shards[shard]
	h := m.owners[t.owner]
	if h.paused {
		return
	}
	requestedAt := m.wallTime(e.clock)
	a := pomelo.GrantRequest{Account: m.account.Name, Shard: shard, Tokens: 2, TTL: MaxTTL}
	ownedFor := pomelo.Millis(float64(m.now-t.takenAt) / microsPerMilli)
	h.paused = true
	m.advance(d)
	g := h.buckets.Issue(m.monotonic(h.clock), t.since, ownedFor, m.resourceAt(h, shard), pomelo.ShardOf(h.account, shard), a)
	e.pool.ApplyGrant(requestedAt, m.wallTime(e.clock), a.TTL, g)
	m.resume(h)
}

func TestBoundOverAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := pomelo.ClientAccount{Name: "growers"}
		a.Rate = rapid.SampledFrom([]float64{2, 20, 200}).Draw(t, "rate")
		a.Burst = rapid.SampledFrom([]float64{1, 5, 10, 40, 200}).Draw(t, "burst")
		m := newModel(rapid.Uint64().Draw(t, "seed"), a, 3, 3, faultNone)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		actions := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if x := m.excess(a.Rate, a.Burst); x > roundingError {
				t.Fatalf("%f requests above the bound", x)
			}
		}}
		for name, f := range m.actions(pick) {
			actions[name] = func(*rapid.T) { f() }
		}
		t.Repeat(actions)
	})
}

func scripted(seed uint64, fault injectedFault) *model {
	script := rand.New(rand.NewPCG(seed, 1))
	a := pomelo.ClientAccount{Name: "growers", Rate: 50, Burst: []float64{5, 10, 40}[script.IntN(3)]}
	// More owners than entries, so that shards move to owners that have never had them.
	m := newModel(seed, a, 6, 3, fault)
	actions := m.actions(script.IntN)
	names := slices.Sorted(maps.Keys(actions))
	for range boundSteps {
		actions[names[script.IntN(len(names))]]()
	}
	return m
}

func TestPlantedFaults(t *testing.T) {
	for _, fault := range []injectedFault{faultNoWait, faultTTLFromAnswer, faultIgnoresOutstanding, faultKeepsIssuing} {
		convey.Convey("The checker detects "+string(fault), t, func() {
			found := 0
			for seed := range uint64(boundRuns) {
				m := scripted(seed, fault)
				if m.excess(m.account.Rate, m.account.Burst) > roundingError {
					found++
				}
			}
			t.Logf("%s: %d of %d runs above the bound", fault, found, boundRuns)
			convey.So(found, convey.ShouldBeGreaterThan, 0)
		})
	}
	convey.Convey("The same scripts without a fault keep the bound and admit requests", t, func() {
		admitted, refused := 0, 0
		for seed := range uint64(boundRuns) {
			m := scripted(seed, faultNone)
			convey.So(m.excess(m.account.Rate, m.account.Burst), convey.ShouldBeLessThanOrEqualTo, roundingError)
			admitted += len(m.admitted)
			refused += len(m.refused)
		}
		t.Logf("%d admitted, %d refused", admitted, refused)
		convey.So(admitted, convey.ShouldBeGreaterThan, 0)
	})
}
