package load

import (
	"fmt"
	"slices"

	"github.com/pomeloworks/pomelo"
)

const (
	// warmUpMillis is excluded from the time before a trigger, since upstreams and limits start cold.
	warmUpMillis = 4000.0
	// recoveredShare is the fraction of the earlier share of complete answers that counts as recovered, once reached over recoverySteps.
	recoveredShare = 0.95
	recoverySteps  = 4
	neverRecovered = pomelo.Millis(-1)
)

// interval is the time of a trigger or a surge; capacity is that of the bottleneck during it, in calls a second.
type interval struct {
	name     string
	from     pomelo.Millis
	to       pomelo.Millis
	capacity float64
}

// intervals lists the plan's triggers and surges; those with the same times are merged.
func intervals(p pomelo.LoadPlan) []interval {
	var found []interval
	for _, t := range p.Triggers {
		if t.Until > t.At {
			found = mergeInterval(found, interval{name: triggerName(t), from: t.At, to: t.Until, capacity: t.Capacity})
		}
	}
	for _, s := range p.Streams {
		for _, u := range s.Surges {
			found = mergeInterval(found, interval{name: fmt.Sprintf("surge x%g", u.Factor), from: u.From, to: u.To})
		}
	}
	slices.SortStableFunc(found, func(a, b interval) int { return int(a.from - b.from) })
	return found
}

func mergeInterval(found []interval, s interval) []interval {
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

// measureRecovery compares the timeline during and after an interval with the time before it.
func measureRecovery(l timeline, s interval, capacity float64) pomelo.LoadRecovery {
	from, to := float64(s.from), float64(s.to)
	start := warmUpMillis
	if from <= start {
		start = 0
	}
	before, during := l.sum(start, from), l.sum(from, to)
	r := pomelo.LoadRecovery{
		Name:          s.name,
		From:          s.from,
		To:            s.to,
		GoodputBefore: perSecond(float64(before.completed), from-start),
		GoodputDuring: perSecond(float64(during.completed), to-from),
		WorthBefore:   perSecond(before.completedWorth, from-start),
		WorthDuring:   perSecond(during.completedWorth, to-from),
		Recovery:      recoveryTime(l, to, timelyShare(before)),
	}
	if s.capacity > 0 {
		capacity = s.capacity
	}
	if capacity > 0 {
		r.CapacityShare = perSecond(during.completedCost, to-from) / capacity
	}
	return r
}

// recoveryTime is the time from the end of the interval to the first second with recoveredShare of the baseline share.
func recoveryTime(l timeline, to, baseline float64) pomelo.Millis {
	for at := to; at+recoverySteps*stepMillis <= float64(len(l.steps))*stepMillis; at += stepMillis {
		s := l.sum(at, at+recoverySteps*stepMillis)
		if s.offered > 0 && timelyShare(s) >= recoveredShare*baseline {
			return pomelo.Millis(at - to)
		}
	}
	return neverRecovered
}

// timelyShare is the share of complete answers in time: a late one, after many retries, does not show recovery from the trigger.
func timelyShare(s step) float64 {
	return ratio(s.complete-s.late, s.offered)
}

func perSecond(n, millis float64) float64 {
	if millis <= 0 {
		return 0
	}
	return n * millisPerSecond / millis
}
