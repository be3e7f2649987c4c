package roster

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
	faultRuns        = 8
	cleanRuns        = 60
	scriptSteps      = 14
	modelLongOutage  = pomelo.Millis(1 << 40)
	modelShortOutage = pomelo.Millis(6_000)
)

func TestNoTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		maxStoreOutage := rapid.SampledFrom([]pomelo.Millis{modelLongOutage, modelShortOutage}).Draw(t, "lost_ms")
		m := newModel(seed, 6, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "size"), maxStoreOutage, faultNone)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		actions := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if m.overlap != "" {
				t.Fatal(m.overlap)
			}
		}}
		for name, f := range m.actions(pick) {
			actions[name] = func(*rapid.T) { f() }
		}
		m.advance(6_000)
		t.Repeat(actions)
	})
}

// injectedFaults names the first of the seeds that are run for each injected fault; of the seeds 0 to 399, 1 to 13 expose each fault.
var injectedFaults = []struct {
	fault injectedFault
	from  uint64
}{
	{faultNoWait, 90},
	{faultNoAcks, 175},
	{faultConfirmedFromAnswer, 145},
	{faultRestartVotes, 28},
	{faultJumpingClock, 145},
}

// scripted runs one random sequence of actions and returns the model.
func scripted(seed uint64, fault injectedFault) *model {
	script := rand.New(rand.NewPCG(seed, 1))
	maxStoreOutage := []pomelo.Millis{modelLongOutage, modelShortOutage}[script.IntN(2)]
	m := newModel(seed, 5, []int{3, 5}[script.IntN(2)], maxStoreOutage, fault)
	actions := m.actions(script.IntN)
	names := slices.Sorted(maps.Keys(actions))
	m.advance(6_000)
	for range scriptSteps {
		if m.overlap != "" {
			return m
		}
		actions[names[script.IntN(len(names))]]()
	}
	return m
}

func TestPlantedFaults(t *testing.T) {
	for _, c := range injectedFaults {
		convey.Convey("The model detects "+string(c.fault), t, func() {
			found := 0
			for seed := c.from; seed < c.from+faultRuns; seed++ {
				if scripted(seed, c.fault).overlap != "" {
					t.Logf("seed %d", seed)
					found++
				}
			}
			t.Logf("%s: %d of %d runs have two owners at once", c.fault, found, faultRuns)
			convey.So(found, convey.ShouldBeGreaterThan, 0)
		})
	}
	convey.Convey("The same sequences without a fault never have two owners at once, and have many changes and many handovers", t, func() {
		var changes int64
		ownerChecks, handovers := 0, 0
		for seed := range uint64(cleanRuns) {
			m := scripted(seed, faultNone)
			if m.overlap != "" {
				t.Errorf("seed %d: %s", seed, m.overlap)
			}
			changes += m.changes
			ownerChecks += m.ownerChecks
			handovers += m.handovers
		}
		t.Logf("%d changes of roster, %d handovers of a resource, %d checks that found an owner", changes, handovers, ownerChecks)
		convey.So(changes, convey.ShouldBeGreaterThan, cleanRuns)
		convey.So(handovers, convey.ShouldBeGreaterThan, cleanRuns/2)
	})
}
