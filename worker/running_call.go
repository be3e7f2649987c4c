package worker

import "github.com/pomeloworks/pomelo"

// runningCall is one running or waiting call with the calls of its subtree, by service.
type runningCall struct {
	call         pomelo.Call
	subtreeCalls []pomelo.SubtreeCalls
}

// addSubtreeCalls adds up the calls and refusals of each service, and retains its highest threshold.
func (r *runningCall) addSubtreeCalls(calls []pomelo.SubtreeCalls) {
	for _, c := range calls {
		r.addService(c)
	}
}

func (r *runningCall) addService(c pomelo.SubtreeCalls) {
	for i := range r.subtreeCalls {
		if r.subtreeCalls[i].Service == c.Service {
			r.subtreeCalls[i].Calls += c.Calls
			r.subtreeCalls[i].Refused += c.Refused
			r.subtreeCalls[i].ShedThreshold = max(r.subtreeCalls[i].ShedThreshold, c.ShedThreshold)
			return
		}
	}
	r.subtreeCalls = append(r.subtreeCalls, c)
}
