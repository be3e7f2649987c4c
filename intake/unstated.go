package intake

import (
	"strconv"

	"github.com/pomeloworks/pomelo"
)

// withoutPromise refuses a call that may run once as one that may have run, if the upstream's status would tell the caller otherwise: the upstream has not stated that it did not run.
func (i *Intake) withoutPromise(c pomelo.Call, a pomelo.Answer) pomelo.Answer {
	if !c.NonIdempotent || a.Refusal != nil || !pomelo.IsNotRunStatus(a.Status) {
		return a
	}
	i.metrics.Count("intake.unstated_refusals", 1)
	f := pomelo.NewFault(pomelo.KindUpstreamFailed, "the upstream responded with status "+strconv.Itoa(a.Status)+" and did not state that the request has not run", "ask whether it ran before repeating it")
	f.Ran = pomelo.RanUnknown
	a.Refusal = f
	a.Status, a.Header, a.Body = 0, nil, nil
	return a
}
