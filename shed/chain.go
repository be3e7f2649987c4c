package shed

import (
	"net/http"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/cutoff"
	"github.com/pomeloworks/pomelo/rank"
)

// everyone is the one account of a chain's cutoff: which requests lose a sub-call does not depend on whose they are.
const everyone = ""

// chains are, by service, the positions below which requests are kept away that make sub-calls on it. They follow requests that failed after they had begun, since a sub-call of theirs was turned away: an upstream that turns calls away whatever their rank shows in no threshold.
type chains map[string]*cutoff.Cutoff

// cutoff is the position in force for the service.
func (c chains) cutoff(now pomelo.Millis, service string) float64 {
	k := c[service]
	if k == nil {
		return 0
	}
	k.Advance(now, false)
	return k.Of(everyone)
}

// begun counts a request that is let in and will make sub-calls on the services.
func (c chains) begun(call pomelo.Call, needs graph) {
	for service := range needs {
		if k := c[service]; k != nil && service != call.Service {
			k.Arrived(everyone, rank.Of(call).Importance)
		}
	}
}

// ended takes the outcome of a request that was let in.
func (c chains) ended(now pomelo.Millis, call pomelo.Call, a pomelo.Answer) {
	importance := rank.Of(call).Importance
	failed := a.Refusal != nil || a.Status >= http.StatusInternalServerError
	for _, v := range a.SubtreeCalls {
		if v.Service == call.Service {
			continue
		}
		k := c[v.Service]
		if k == nil && (!failed || v.Refused == 0) {
			continue
		}
		if k == nil {
			k = cutoff.New()
			c[v.Service] = k
			k.Arrived(everyone, importance)
		}
		k.Advance(now, false)
		switch {
		case failed && v.Refused > 0:
			k.Refused(everyone, importance)
		case !failed:
			k.Served(importance)
		}
	}
}
