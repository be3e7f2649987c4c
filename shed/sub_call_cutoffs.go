package shed

import (
	"net/http"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/cutoff"
	"github.com/pomeloworks/pomelo/rank"
)

// allAccounts is the only account of each cutoff here: which requests lose a sub-call does not depend on their account.
const allAccounts = ""

// subCallCutoffs holds, by service, the position below which requests that make sub-calls on that service are refused. It adapts to the requests that failed after they were admitted because the service rejected a sub-call: an upstream that rejects calls regardless of their rank reports no threshold.
type subCallCutoffs map[string]*cutoff.Cutoff

// position returns the cutoff in force for the service.
func (c subCallCutoffs) position(now pomelo.Millis, service string) float64 {
	k := c[service]
	if k == nil {
		return 0
	}
	k.Advance(now, false)
	return k.Of(allAccounts)
}

// recordAdmitted counts an admitted request that is expected to make sub-calls on the services.
func (c subCallCutoffs) recordAdmitted(call pomelo.Call, calls callGraph) {
	for service := range calls {
		if k := c[service]; k != nil && service != call.Service {
			k.RecordArrival(allAccounts, rank.Of(call).Importance)
		}
	}
}

// recordOutcome records the answer to an admitted request.
func (c subCallCutoffs) recordOutcome(now pomelo.Millis, call pomelo.Call, a pomelo.Answer) {
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
			k.RecordArrival(allAccounts, importance)
		}
		k.Advance(now, false)
		switch {
		case failed && v.Refused > 0:
			k.RecordRefused(allAccounts, importance)
		case !failed:
			k.RecordServed(importance)
		}
	}
}
