package shed

import (
	"math"

	"github.com/pomeloworks/pomelo"
)

const (
	// The thresholds of a service's upstreams differ; a lower one counts more, since that upstream has more capacity left.
	riseWeight = 0.2
	fallWeight = 0.3
	// halfLife is the time in milliseconds after which the next answer replaces at least half of the value.
	halfLife = 300.0
	// A value below minValue counts as 0.
	minValue = 0.001
	// A threshold that no answer updates keeps its value for freshPeriod, and then falls to 0 within expiryPeriod.
	freshPeriod  = pomelo.Millis(1_000)
	expiryPeriod = pomelo.Millis(1_000)
)

// thresholdKey identifies the threshold of one service for one account.
type thresholdKey struct {
	service string
	account string
}

// threshold is the position in the shedding order below which a service refuses an account's requests.
type threshold struct {
	value     float64
	updatedAt pomelo.Millis
}

func (t *threshold) update(now pomelo.Millis, reported float64) {
	value := t.at(now)
	weight := riseWeight
	if reported < value {
		weight = fallWeight
	}
	weight = max(weight, 1-math.Exp2(-float64(now-t.updatedAt)/halfLife))
	t.value = value + weight*(reported-value)
	if t.value < minValue {
		t.value = 0
	}
	t.updatedAt = now
}

// at returns the threshold in force at now, and 0 for a nil threshold.
func (t *threshold) at(now pomelo.Millis) float64 {
	if t == nil {
		return 0
	}
	stale := max(0, now-t.updatedAt-freshPeriod)
	remaining := 1 - float64(stale)/float64(expiryPeriod)
	return t.value * max(0, remaining)
}
