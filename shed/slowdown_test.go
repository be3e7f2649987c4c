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

// TestSlowdown runs the scenario of BenchmarkRecovery in simulated time, so that other load on the machine does not affect it.
func TestSlowdown(t *testing.T) {
	convey.Convey("The last service of the chain slows to a fifth while demand is twice its usual capacity, and clients retry at once", t, func() {
		m := slowdown(t)
		t.Log(m.summary())
		convey.So(m.goodput(), convey.ShouldBeGreaterThan, 0.9)
		convey.So(recovery(m.seconds["total"]), convey.ShouldBeLessThanOrEqualTo, 3)
		convey.So(m.share("/valves", slowFrom, slowTo), convey.ShouldBeGreaterThan, 0.9)
		convey.So(m.share("/valves", slowFrom, slowTo), convey.ShouldBeGreaterThan, 5*m.share("/orders", slowFrom, slowTo))
	})
}

func TestSurge(t *testing.T) {
	convey.Convey("During one account's sixfold surge, every other account gets at least 95% of what it got before", t, func() {
		m := surge(t)
		convey.So(m.worstOther(), convey.ShouldBeGreaterThanOrEqualTo, 0.95)
	})
}

var allFeatures = flag.Bool("parts", false, "measure the slowdown and the surge with each feature of the overload control disabled")

// TestParts reports the effect of disabling each feature of the overload control; run it with -v -parts.
func TestParts(t *testing.T) {
	if !*allFeatures {
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

func slowdown(t *testing.T, disabled ...string) *model {
	var m *model
	synctest.Test(t, func(*testing.T) {
		m = newModel(disabled...)
		m.run(0, triggerAt, usualRate)
		m.setSlowdown(slowFactor)
		m.run(triggerAt, triggerUntil, allAccountsSurge)
		m.setSlowdown(1)
		m.run(triggerUntil, recoveryLength, usualRate)
		time.Sleep(drainTime)
	})
	return m
}

func surge(t *testing.T, disabled ...string) *model {
	var m *model
	synctest.Test(t, func(*testing.T) {
		m = newModel(disabled...)
		m.run(0, triggerAt, usualRate)
		m.run(triggerAt, triggerUntil, oneAccountSurges)
		time.Sleep(drainTime)
	})
	return m
}

// goodput returns the rate of complete answers while the service is slow, as a share of its reduced capacity.
func (m *model) goodput() float64 {
	complete := 0
	for _, n := range m.completePerSecond[slowFrom:slowTo] {
		complete += n
	}
	return float64(complete) / float64(slowTo-slowFrom) / (capacity / slowFactor)
}

// wasted returns the share of the started calls that did not contribute to a complete answer.
func (m *model) wasted() float64 {
	_, complete := countBetween(m.seconds["total"], 0, len(m.completePerSecond))
	return 1 - float64(chainLength*complete)/float64(m.started)
}

func (m *model) worstOther() float64 {
	worst := 1.0
	for _, a := range accounts[1:] {
		worst = min(worst, m.share(a, slowFrom-1, slowTo)/m.share(a, 1, slowFrom-1))
	}
	return worst
}

func (m *model) summary() string {
	return fmt.Sprintf("goodput %.2f of capacity, complete at importance 9 %.3f, 6 %.3f, 3 %.3f, %d s to 95%%, wasted work %.2f, attempts %d",
		m.goodput(), m.share("/valves", slowFrom, slowTo), m.share("/orders", slowFrom, slowTo), m.share("/history", slowFrom, slowTo),
		recovery(m.seconds["total"]), m.wasted(), m.attempts)
}

func (m *model) surgeSummary() string {
	return fmt.Sprintf("; surge: worst other account %.3f, surging one %.3f, wasted work %.2f",
		m.worstOther(), m.share(accounts[0], slowFrom-1, slowTo), m.wasted())
}
