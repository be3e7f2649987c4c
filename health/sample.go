package health

// sample aggregates one interval at the limiter, or the intervals of a window.
type sample struct {
	selfTime float64 // milliseconds, total of complete answers
	complete int
	failed   int
	arrived  int
	refused  int
	waiting  int
}

func (s *sample) add(t sample) {
	s.selfTime += t.selfTime
	s.complete += t.complete
	s.failed += t.failed
	s.arrived += t.arrived
	s.refused += t.refused
	s.waiting = min(s.waiting, t.waiting)
}

func (s sample) meanSelfTime() float64 {
	if s.complete == 0 {
		return 0
	}
	return s.selfTime / float64(s.complete)
}

// sum adds up samples; waiting is their minimum, so that a short burst does not count as a queue.
func sum(samples []sample) sample {
	if len(samples) == 0 {
		return sample{}
	}
	total := sample{waiting: samples[0].waiting}
	for _, s := range samples {
		total.add(s)
	}
	return total
}
