package shed_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// TestSlowdown is BenchmarkRecovery in simulated time, where no other load disturbs it.
func TestSlowdown(t *testing.T) {
	convey.Convey("The deepest service slows to a fifth at twice the usual capacity's demand, and clients retry hard", t, func() {
		m := slowdown(t)
		t.Log(m.summary())
		convey.So(m.goodput(), convey.ShouldBeGreaterThan, 0.9)
		convey.So(recovery(m.tallies["total"]), convey.ShouldBeLessThanOrEqualTo, 3)
		convey.So(m.share("/valves", slowFrom, slowTo), convey.ShouldBeGreaterThan, 0.9)
		convey.So(m.share("/valves", slowFrom, slowTo), convey.ShouldBeGreaterThan, 5*m.share("/orders", slowFrom, slowTo))
	})
}

func TestSurge(t *testing.T) {
	convey.Convey("One account's sixfold surge leaves every other one 95% of what it got before", t, func() {
		m := surge(t)
		convey.So(m.worstOther(), convey.ShouldBeGreaterThanOrEqualTo, 0.95)
	})
}

var allParts = flag.Bool("parts", false, "measure the slowdown and the surge with each part of the control off")

// TestParts reports what each part is worth; run it with -v -parts.
func TestParts(t *testing.T) {
	if !*allParts {
		t.Skip("only with -parts")
	}
	t.Log("all on: ", slowdown(t).summary(), surge(t).surgeSummary())
	for _, p := range pomelo.ControlFeatures() {
		t.Log(p, " off: ", slowdown(t, p).summary(), surge(t, p).surgeSummary())
	}
}

const (
	slowFrom = int(triggerAt/millisInSecond) + 1
	slowTo   = int(triggerUntil / millisInSecond)
)

func slowdown(t *testing.T, off ...string) *model {
	var m *model
	synctest.Test(t, func(*testing.T) {
		m = newModel(off...)
		m.run(0, triggerAt, usual)
		m.setSlow(slowFactor)
		m.run(triggerAt, triggerUntil, everyone)
		m.setSlow(1)
		m.run(triggerUntil, recoveryLength, usual)
		time.Sleep(settling)
	})
	return m
}

func surge(t *testing.T, off ...string) *model {
	var m *model
	synctest.Test(t, func(*testing.T) {
		m = newModel(off...)
		m.run(0, triggerAt, usual)
		m.run(triggerAt, triggerUntil, oneSurges)
		time.Sleep(settling)
	})
	return m
}

// goodput is the rate of whole answers while the service is slow, as a share of its capacity then.
func (m *model) goodput() float64 {
	whole := 0
	for _, n := range m.answers[slowFrom:slowTo] {
		whole += n
	}
	return float64(whole) / float64(slowTo-slowFrom) / (capacity / slowFactor)
}

// wasted is the share of the work started that was for attempts that failed.
func (m *model) wasted() float64 {
	_, whole := between(m.tallies["total"], 0, len(m.answers))
	return 1 - float64(depth*whole)/float64(m.started)
}

func (m *model) worstOther() float64 {
	worst := 1.0
	for _, a := range accounts[1:] {
		worst = min(worst, m.share(a, slowFrom-1, slowTo)/m.share(a, 1, slowFrom-1))
	}
	return worst
}

func (m *model) summary() string {
	return fmt.Sprintf("goodput %.2f of capacity, whole of importance 9 %.3f, 6 %.3f, 3 %.3f, %d s to 95%%, wasted work %.2f, attempts %d",
		m.goodput(), m.share("/valves", slowFrom, slowTo), m.share("/orders", slowFrom, slowTo), m.share("/history", slowFrom, slowTo),
		recovery(m.tallies["total"]), m.wasted(), m.attempts)
}

func (m *model) surgeSummary() string {
	return fmt.Sprintf("; surge: worst other account %.3f, surging one %.3f, wasted work %.2f",
		m.worstOther(), m.share(accounts[0], slowFrom-1, slowTo), m.wasted())
}
