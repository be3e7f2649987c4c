package warmup

const (
	// baselineWeight is the weight of one run in the usual run time of its route: a lasting change becomes usual within some hundred calls.
	baselineWeight = 0.02
	// ratioWeight is the weight of one run in the recent ratio to the usual run time: seven calls of a cold upstream, which is about twice as slow, reach slowRatio.
	ratioWeight = 0.1
	slowRatio   = 1.5
	// maxRatio limits the effect of a single slow call.
	maxRatio = 3.0
)

// runs compares the run times of the last calls with the usual ones of their routes.
type runs struct {
	baselines map[string]float64
	ratio     float64
}

func newRuns() runs {
	return runs{baselines: map[string]float64{}, ratio: 1}
}

// add records a run time in milliseconds and reports whether the last calls were slow; the next report then needs slow calls anew.
func (r *runs) add(route string, runTime float64) bool {
	runTime = max(runTime, 1)
	baseline, ok := r.baselines[route]
	if !ok {
		r.baselines[route] = runTime
		return false
	}
	r.baselines[route] = baseline + baselineWeight*(runTime-baseline)
	r.ratio += ratioWeight * (min(runTime/baseline, maxRatio) - r.ratio)
	if r.ratio < slowRatio {
		return false
	}
	r.ratio = 1
	return true
}
