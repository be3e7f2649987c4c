package limit

import (
	"math"

	"github.com/pomeloworks/pomelo"
)

const (
	// defaultCap is the cap while the upstream has announced no slots.
	defaultCap = 64
	// initialShare is the share of the cap that the limit starts with.
	initialShare = 0.125
	// increaseFactor and decreaseFactor multiply the limit in each trial of a higher or a lower one.
	increaseFactor = 1.5
	decreaseFactor = 0.75
	// minGainShare is the part of an increase by which the throughput must grow for the increase to count as useful.
	minGainShare = 0.3
	// A self time over slowFactor times the baseline starts a trial of a lower limit, which is kept if at least keptShare of the throughput remains.
	slowFactor = 2
	keptShare  = 0.95
	// One window moves the baseline by this share of the difference, up or down.
	baselineRiseWeight = 0.002
	baselineFallWeight = 0.1
	// minDecreasedFrom is the lowest limit that a lower one is tried from: below it, one call is too large a share of the limit.
	minDecreasedFrom = 4
	// trialPause is the time from a failed trial to the next one.
	trialPause = pomelo.Millis(2_000)
)

type phase int

const (
	steady phase = iota
	raised
	lowered
)

// Limit is an adaptive limit of the calls that may run at once. It is not safe for concurrent use, and the caller passes the time in.
type Limit struct {
	cap            int
	current        float64
	phase          phase
	window         window
	previousWindow summary
	limitBefore    float64
	baseline       float64
	nextTrial      pomelo.Millis
}

// New returns the limit of an upstream that has just started.
func New() *Limit {
	l := &Limit{cap: defaultCap}
	l.reset()
	return l
}

// SetCap sets the number of calls that the upstream announced it can run; a change restarts the adaptation, and 0 means unknown.
func (l *Limit) SetCap(n int) {
	if n <= 0 {
		n = defaultCap
	}
	if n == l.cap {
		return
	}
	l.cap = n
	l.reset()
}

// Cap returns the highest number of calls that the upstream can run at once.
func (l *Limit) Cap() int {
	return l.cap
}

// Allowed returns the number of calls that may run at once now, at least 1.
func (l *Limit) Allowed() int {
	return max(1, int(math.Round(l.current)))
}

// Observe records the end of a call: its self time, whether its answer was complete and of use, and how many calls were running.
func (l *Limit) Observe(now, selfTime pomelo.Millis, complete bool, running int) {
	l.window.add(now, selfTime, complete, running >= l.Allowed())
	if s, ok := l.window.close(now, l.Allowed()); ok {
		l.evaluate(now, s)
	}
}

func (l *Limit) reset() {
	l.current = max(1, float64(l.cap)*initialShare)
	l.phase = steady
	l.window = window{}
	l.baseline = 0
	l.nextTrial = 0
}

func (l *Limit) evaluate(now pomelo.Millis, s summary) {
	switch l.phase {
	case raised:
		l.evaluateIncrease(now, s)
	case lowered:
		l.evaluateDecrease(now, s)
	default:
		l.updateBaseline(s.selfTime)
	}
	if l.phase == steady {
		l.startTrial(now, s)
	}
	l.previousWindow = s
}

// evaluateIncrease undoes an increase that made the upstream slower without a useful gain in throughput.
func (l *Limit) evaluateIncrease(now pomelo.Millis, s summary) {
	l.phase = steady
	minGain := minGainShare * (l.current/l.limitBefore - 1)
	isSlower := s.selfTime > l.previousWindow.selfTime*(1+minGain)
	isUseless := s.throughput < l.previousWindow.throughput*(1+minGain)
	if s.atLimit && isSlower && isUseless {
		l.current = l.limitBefore
		l.nextTrial = now + trialPause
		return
	}
	l.updateBaseline(s.selfTime)
}

// evaluateDecrease keeps a lower limit only if the throughput remains. Otherwise the upstream is slow for another reason than load, and its present self time becomes the baseline.
func (l *Limit) evaluateDecrease(now pomelo.Millis, s summary) {
	l.phase = steady
	if s.throughput >= l.previousWindow.throughput*keptShare {
		return
	}
	l.current = l.limitBefore
	l.baseline = l.previousWindow.selfTime
	l.nextTrial = now + trialPause
}

func (l *Limit) startTrial(now pomelo.Millis, s summary) {
	if !s.atLimit {
		return
	}
	l.limitBefore = l.current
	switch {
	case l.current >= minDecreasedFrom && s.selfTime > l.baseline*slowFactor && now >= l.nextTrial:
		l.current = max(1, l.current*decreaseFactor)
		l.phase = lowered
	case l.current < float64(l.cap) && now >= l.nextTrial:
		l.current = min(float64(l.cap), max(l.current*increaseFactor, l.current+1))
		l.phase = raised
	}
}

func (l *Limit) updateBaseline(selfTime float64) {
	weight := baselineRiseWeight
	if selfTime < l.baseline {
		weight = baselineFallWeight
	}
	if l.baseline == 0 {
		weight = 1
	}
	l.baseline += weight * (selfTime - l.baseline)
}
