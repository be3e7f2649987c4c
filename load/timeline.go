package load

import "github.com/pomeloworks/pomelo"

// The timeline has a resolution of a quarter of a second, which is also that of recovery times.
const (
	stepMillis     = 250.0
	stepsPerSecond = 4
)

// step counts a quarter of a second: the requests offered in it with their outcomes, and the requests completed in it.
type step struct {
	offered        int64
	complete       int64
	refused        int64
	failed         int64
	late           int64
	worthOffered   float64
	worthComplete  float64
	completed      int64
	completedWorth float64
	completedCost  float64
}

type timeline struct {
	steps []step
}

// at returns the step for a time in milliseconds from the start.
func (l *timeline) at(millis float64) *step {
	n := max(int(millis/stepMillis), 0)
	for len(l.steps) <= n {
		l.steps = append(l.steps, step{})
	}
	return &l.steps[n]
}

func (l *timeline) merge(o timeline) {
	for i, s := range o.steps {
		l.at(float64(i) * stepMillis).add(s)
	}
}

func (s *step) add(o step) {
	s.offered += o.offered
	s.complete += o.complete
	s.refused += o.refused
	s.failed += o.failed
	s.late += o.late
	s.worthOffered += o.worthOffered
	s.worthComplete += o.worthComplete
	s.completed += o.completed
	s.completedWorth += o.completedWorth
	s.completedCost += o.completedCost
}

// sum adds up the steps that begin in the interval [from, to), in milliseconds.
func (l *timeline) sum(from, to float64) step {
	var total step
	for i, s := range l.steps {
		at := float64(i) * stepMillis
		if at >= from && at < to {
			total.add(s)
		}
	}
	return total
}

// seconds returns the timeline by the second, up to the last second in which a request was offered.
func (l *timeline) seconds() []pomelo.LoadSecond {
	var out []pomelo.LoadSecond
	last := 0
	for i := 0; i < len(l.steps); i += stepsPerSecond {
		from := float64(i) * stepMillis
		s := l.sum(from, from+millisPerSecond)
		out = append(out, pomelo.LoadSecond{
			Second:        i / stepsPerSecond,
			Offered:       s.offered,
			Complete:      s.complete,
			Refused:       s.refused,
			Failed:        s.failed,
			Late:          s.late,
			WorthOffered:  s.worthOffered,
			WorthComplete: s.worthComplete,
		})
		if s.offered > 0 {
			last = len(out)
		}
	}
	return out[:last]
}
