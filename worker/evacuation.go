package worker

import (
	"math/rand/v2"

	"github.com/pomeloworks/pomelo"
)

// listRetryAfter is the RetryAfter of calls refused before the evacuations have been listed, in milliseconds: about the time of a list.
const listRetryAfter = pomelo.Millis(300)

// evacuatedMetric counts the calls refused because the worker's zone is evacuated.
const evacuatedMetric = "worker.refused.evacuated"

// evacuation is what the worker needs to know of evacuated zones; its zero value never refuses a call.
type evacuation struct {
	zones   pomelo.Evacuations
	zone    string
	listed  <-chan struct{}
	waiting pomelo.WaitingRefuser
}

// WithEvacuations makes the worker refuse calls while its zone is evacuated, and until listed is closed, before which that is unknown; waiting refuses the waiting calls.
func WithEvacuations(zones pomelo.Evacuations, zone string, listed <-chan struct{}, waiting pomelo.WaitingRefuser) func(*Worker) {
	return func(w *Worker) { w.evacuation = evacuation{zones: zones, zone: zone, listed: listed, waiting: waiting} }
}

// ZoneEvacuated refuses the waiting calls once the worker's zone is evacuated. A call that arrives at the same moment is refused when its turn comes.
func (w *Worker) ZoneEvacuated() {
	if w.evacuation.waiting == nil {
		return
	}
	refused := w.evacuation.waiting.RefuseWaiting(evacuatedFault)
	w.metrics.Count(evacuatedMetric, int64(refused))
	w.log.Info("waiting_calls_refused", "zone", w.evacuation.zone, "refused", refused, "reason", "evacuated")
}

// evacuationRefusal returns the refusal of a call by the state of the worker's zone, or nil if the call may run.
func (w *Worker) evacuationRefusal() *pomelo.Fault {
	e := w.evacuation
	if e.zones == nil {
		return nil
	}
	select {
	case <-e.listed:
	default:
		f := pomelo.NewFault(pomelo.KindNotAuthoritative, "this node has not read the evacuations yet", "send the request to another upstream")
		f.RetryAfter = listRetryAfter
		return f
	}
	if !e.zones.IsEvacuated(e.zone) {
		return nil
	}
	w.metrics.Count(evacuatedMetric, 1)
	return evacuatedFault()
}

func evacuatedFault() *pomelo.Fault {
	return pomelo.NewOverload("the upstream's availability zone is evacuated", rand.Float64())
}
