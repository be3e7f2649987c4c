package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	// changeLag is the longest time after which a node of the model learns of a change, in microseconds.
	changeLag = 300_000
	// grantLife is the longest time for which tokens of a lowered burst may still be used, in microseconds.
	grantLife = int64(MaxTTL+20) * microsPerMilli
)

// limitsAt is the highest rate and burst that any owner or grant may go by from a time on, in microseconds.
type limitsAt struct {
	at          int64
	rate, burst float64
}

// history records which limits are in force in the model.
type history struct {
	steps []limitsAt
	// lowered are the bursts that grants may still go by, with the time until which they do.
	lowered []limitsAt
}

// note records the limits that the owners know now: while they know different ones, each may earn its own rate.
func (h *history) note(m *model) {
	rates := map[pomelo.ClientAccount]bool{}
	step := limitsAt{at: m.now}
	for _, o := range m.owners {
		if !rates[o.account] {
			rates[o.account] = true
			step.rate += o.account.Rate
		}
		step.burst = max(step.burst, o.account.Burst)
	}
	if n := len(h.steps); n > 0 && h.steps[n-1].burst > step.burst {
		h.lowered = append(h.lowered, limitsAt{at: m.now + grantLife, burst: h.steps[n-1].burst})
	}
	h.steps = append(h.steps, step)
}

// excess returns by how many requests the admitted ones exceed one bucket with the limits of the history in the worst window.
func (h *history) excess(admitted []int64) float64 {
	level, worst, last, i := h.steps[0].burst, 0.0, h.steps[0].at, 0
	forward := func(to int64) {
		for last < to {
			next := to
			if i+1 < len(h.steps) && h.steps[i+1].at < to {
				next = h.steps[i+1].at
			}
			level += h.steps[i].rate * float64(next-last) / 1e6
			burst := h.steps[i].burst
			for _, l := range h.lowered {
				if next <= l.at {
					burst = max(burst, l.burst)
				}
			}
			level = min(burst, level)
			last = next
			if i+1 < len(h.steps) && h.steps[i+1].at <= last {
				i++
			}
		}
	}
	for _, t := range admitted {
		forward(t)
		level--
		worst = max(worst, -level)
	}
	return worst
}

// change has every node learn of the account's new limits at a time of its own.
func (m *model) change(h *history, next pomelo.ClientAccount) {
	for _, o := range m.owners {
		m.schedule(int64(m.random.IntN(changeLag)), func() {
			m.learn(o, next)
			h.note(m)
		})
	}
	for _, e := range m.entries {
		m.schedule(int64(m.random.IntN(changeLag)), func() { e.account = next })
	}
	m.account = next
}

// learn applies a change to the buckets of an owner, as rates.Limiter does.
func (m *model) learn(o *ownerNode, next pomelo.ClientAccount) {
	previous := o.account
	o.account = next
	if m.injected == faultOtherBuckets {
		return
	}
	for shard, t := range m.shards {
		if m.owners[t.owner] == o {
			ownedFor := pomelo.Millis(float64(m.now-t.takenAt) / microsPerMilli)
			o.buckets.Change(m.monotonic(o.clock), t.since, ownedFor, m.resource(shard), shard, previous, next)
		}
	}
}

// resourceAt names the bucket of a shard at an owner.
func (m *model) resourceAt(o *ownerNode, shard int) string {
	if m.injected == faultOtherBuckets {
		return fmt.Sprint(shard, "/", pomelo.ShardCount(o.account))
	}
	return m.resource(shard)
}

// changedLimits are rates and bursts on each side of the numbers of shards.
var changedLimits = []pomelo.ClientAccount{
	{Name: "growers", Rate: 20, Burst: 1},
	{Name: "growers", Rate: 20, Burst: 4},
	{Name: "growers", Rate: 20, Burst: 5},
	{Name: "growers", Rate: 20, Burst: 8},
	{Name: "growers", Rate: 20, Burst: 10},
	{Name: "growers", Rate: 20, Burst: 17},
	{Name: "growers", Rate: 20, Burst: 18},
	{Name: "growers", Rate: 20, Burst: 200},
	{Name: "growers", Rate: 200, Burst: 200},
	{Name: "growers", Rate: 2, Burst: 200},
	{Name: "growers", Rate: 200, Burst: 17},
	{Name: "growers", Rate: 2, Burst: 5},
}

// changes plays a series of changes with requests between them; pick returns a number from 0 to n-1.
func changes(seed uint64, fault injectedFault, steps int, pick func(int) int) (*model, *history) {
	m := newModel(seed, changedLimits[pick(len(changedLimits))], 3, 3, fault)
	h := &history{}
	h.note(m)
	for range steps {
		switch pick(6) {
		case 0:
			m.stampede(int64(pick(10)) * 20_000)
		case 1:
			m.advance(int64(pick(40)) * 100_000)
		case 2:
			m.moveShard(pick(len(m.shards)), pick(len(m.owners)))
		case 3:
			m.load(int64(1+pick(5))*100_000, 4)
		default:
			m.change(h, changedLimits[pick(len(changedLimits))])
			// Each node knows of one change before the next one.
			m.advance(changeLag)
		}
	}
	m.advance(2_000_000)
	return m, h
}

// TestBoundOverChanges guards against an account that gets its burst again when its limits change.
func TestBoundOverChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		m, h := changes(rapid.Uint64().Draw(t, "seed"), faultNone, 30, pick)
		if x := h.excess(m.admitted); x > roundingError {
			t.Fatalf("%f requests above one bucket", x)
		}
	})
}

// TestBoundFindsOtherBuckets shows that the check of TestBoundOverChanges finds the fault that it guards against.
func TestBoundFindsOtherBuckets(t *testing.T) {
	convey.Convey("Other buckets for another number of shards are found", t, func() {
		for _, fault := range []injectedFault{faultOtherBuckets, faultNone} {
			found := 0
			for seed := range uint64(100) {
				script := rand.New(rand.NewPCG(seed, 5))
				m, h := changes(seed, fault, 30, script.IntN)
				if h.excess(m.admitted) > roundingError {
					found++
				}
			}
			t.Logf("%q: %d of 100 runs above one bucket", fault, found)
			convey.So(found > 0, convey.ShouldEqual, fault != faultNone)
		}
	})
}

// servedOverChange returns the requests that an account which asks for four times its rate is served in 5 s from a change on, and those that one bucket serves that keeps its tokens up to the new burst.
func servedOverChange(seed uint64, fault injectedFault, from, to pomelo.ClientAccount) (served, possible float64) {
	m := newModel(seed, from, 3, 3, fault)
	m.advance(10_000_000)
	m.change(&history{}, to)
	m.advance(changeLag)
	before := len(m.admitted)
	m.load(5_000_000, 4)
	return float64(len(m.admitted) - before), min(from.Burst, to.Burst) + to.Rate*5
}

// TestServedAfterChange guards against callers inside their limits who are refused because the limits have changed.
func TestServedAfterChange(t *testing.T) {
	cases := []struct {
		from, to pomelo.ClientAccount
		// least is the share of what one bucket serves.
		least float64
	}{
		{pomelo.ClientAccount{Name: "a", Rate: 100, Burst: 200}, pomelo.ClientAccount{Name: "a", Rate: 100, Burst: 17}, 0.9},
		{pomelo.ClientAccount{Name: "a", Rate: 100, Burst: 17}, pomelo.ClientAccount{Name: "a", Rate: 100, Burst: 200}, 0.9},
		{pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 17}, pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 18}, 0.8},
		{pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 18}, pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 17}, 0.8},
		{pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 5}, pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 4}, 0.8},
		{pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 4}, pomelo.ClientAccount{Name: "a", Rate: 10, Burst: 50}, 0.8},
	}
	convey.Convey("An idle account whose limits change is served nearly what one bucket serves", t, func() {
		for _, tc := range cases {
			var served, before, possible float64
			for seed := range uint64(20) {
				n, p := servedOverChange(seed, faultNone, tc.from, tc.to)
				o, _ := servedOverChange(seed, faultOtherBuckets, tc.from, tc.to)
				served, before, possible = served+n, before+o, possible+p
			}
			t.Logf("burst %g to %g at %g a second: %.3f of one bucket, with other buckets %.3f", tc.from.Burst, tc.to.Burst, tc.to.Rate, served/possible, before/possible)
			convey.So(served/possible, convey.ShouldBeGreaterThanOrEqualTo, tc.least)
		}
	})
}
