package send

import "github.com/pomeloworks/pomelo"

// callRetries holds the retries that a call may still cause; delegated ones belong to the running attempt until reclaim is called.
type callRetries struct {
	remaining int
	delegated int
}

func newCallRetries(retries int) callRetries {
	return callRetries{remaining: max(retries, 0)}
}

// delegate passes the larger half to the next attempt: the other half pays for a retry if the answer, and with it the delegated half, is lost.
func (r *callRetries) delegate() int {
	r.delegated = (r.remaining + 1) / 2
	r.remaining -= r.delegated
	return r.delegated
}

// reclaim takes back the retries that an attempt did not spend; a call that did not run can't have spent any.
func (r *callRetries) reclaim(a pomelo.Answer) {
	unspent := min(max(a.RetriesLeft, 0), r.delegated)
	if a.Refusal != nil && a.Refusal.Ran == pomelo.RanNo {
		unspent = r.delegated
	}
	r.remaining += unspent
	r.delegated = 0
}
