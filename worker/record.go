package worker

import "github.com/pomeloworks/pomelo"

// record is one running call and what its sub-calls met so far, by service.
type record struct {
	call   pomelo.Call
	visits []pomelo.SubtreeCalls
}

// visit adds the calls up and keeps the highest threshold of each service.
func (r *record) visit(visits []pomelo.SubtreeCalls) {
	for _, v := range visits {
		r.add(v)
	}
}

func (r *record) add(v pomelo.SubtreeCalls) {
	for i := range r.visits {
		if r.visits[i].Service == v.Service {
			r.visits[i].Calls += v.Calls
			r.visits[i].Refused += v.Refused
			r.visits[i].ShedThreshold = max(r.visits[i].ShedThreshold, v.ShedThreshold)
			return
		}
	}
	r.visits = append(r.visits, v)
}
