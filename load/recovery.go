package load

import (
	"fmt"
	"slices"

	"github.com/pomeloworks/pomelo"
)

const (
	// warmUp, in milliseconds, is left out of what was before a trigger: upstreams and limits start cold.
	warmUp = 4000.0
	// recoveredShare of the share of whole answers before counts as recovered, once held for recoverySteps.
	recoveredShare = 0.95
	recoverySteps  = 4
	neverRecovered = pomelo.Millis(-1)
)

// span is a trigger or a surge; capacity is the bottleneck's while it lasts, in calls a second.
type span struct {
	name     string
	from     pomelo.Millis
	to       pomelo.Millis
	capacity float64
}

// spans lists the plan's triggers and surges; those of the same times are one.
func spans(p pomelo.LoadPlan) []span {
	var found []span
	for _, t := range p.Triggers {
		if t.Until > t.At {
			found = include(found, span{name: triggerName(t), from: t.At, to: t.Until, capacity: t.Capacity})
		}
	}
	for _, s := range p.Streams {
		for _, u := range s.Surges {
			found = include(found, span{name: fmt.Sprintf("surge x%g", u.Factor), from: u.From, to: u.To})
		}
	}
	slices.SortStableFunc(found, func(a, b span) int { return int(a.from - b.from) })
	return found
}

func include(found []span, s span) []span {
	for i, f := range found {
		if f.from == s.from && f.to == s.to {
			found[i].capacity = max(f.capacity, s.capacity)
			return found
		}
	}
	return append(found, s)
}

func triggerName(t pomelo.LoadTrigger) string {
	name := t.Service
	if t.VM != "" {
		name = t.VM
	}
	if t.Fault.SlowFactor > 0 {
		return fmt.Sprintf("%s slow x%g", name, t.Fault.SlowFactor)
	}
	return name + " fault"
}

// recovery compares the time line within and after a span with what was before it.
func recovery(l timeline, s span, capacity float64) pomelo.LoadRecovery {
	from, to := float64(s.from), float64(s.to)
	start := warmUp
	if from <= start {
		start = 0
	}
	before, during := l.sum(start, from), l.sum(from, to)
	r := pomelo.LoadRecovery{
		Name:          s.name,
		From:          s.from,
		To:            s.to,
		GoodputBefore: bySecond(float64(before.completed), from-start),
		GoodputDuring: bySecond(float64(during.completed), to-from),
		WorthBefore:   bySecond(before.completedWorth, from-start),
		WorthDuring:   bySecond(during.completedWorth, to-from),
		Recovery:      recoveryTime(l, to, share(before)),
	}
	if s.capacity > 0 {
		capacity = s.capacity
	}
	if capacity > 0 {
		r.CapacityShare = bySecond(during.completedCost, to-from) / capacity
	}
	return r
}

// recoveryTime is from the end of the span to the first second that is back at the share before it.
func recoveryTime(l timeline, to, before float64) pomelo.Millis {
	for at := to; at+recoverySteps*stepMillis <= float64(len(l.steps))*stepMillis; at += stepMillis {
		s := l.sum(at, at+recoverySteps*stepMillis)
		if s.offered > 0 && share(s) >= recoveredShare*before {
			return pomelo.Millis(at - to)
		}
	}
	return neverRecovered
}

// share is of whole answers in time: one that came by retrying for long does not show that the trigger has passed.
func share(s step) float64 {
	return ratio(s.whole-s.late, s.offered)
}

func bySecond(n, millis float64) float64 {
	if millis <= 0 {
		return 0
	}
	return n * millisPerSecond / millis
}
