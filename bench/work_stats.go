package bench

import (
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakeup"
)

// workStats compares the stand-ins' execution logs with the requests that got a complete answer.
type workStats struct {
	fleet     pomelo.FleetPlan
	completed rootIDs
	callIDs   map[string]int
	keys      map[string]int
	trees     map[string]int64
	services  []pomelo.LoadServiceWork
	total     pomelo.LoadWork
}

func newWorkStats(f pomelo.FleetPlan) *workStats {
	w := &workStats{
		fleet:     f,
		completed: rootIDs{ids: map[string]bool{}},
		callIDs:   map[string]int{},
		keys:      map[string]int{},
		trees:     map[string]int64{},
	}
	for _, s := range f.Services {
		w.services = append(w.services, pomelo.LoadServiceWork{Service: s.Upstream.Service})
	}
	return w
}

func (w *workStats) recordComplete(rootID string) {
	w.completed.add(rootID)
}

// report sums the logs of the stand-ins, which are in the order of the fleet plan.
func (w *workStats) report(upstreams []*fakeup.Server) pomelo.LoadWork {
	n := 0
	for i, s := range w.fleet.Services {
		for range s.Count {
			w.addUpstream(&w.services[i], upstreams[n])
			n++
		}
	}
	for _, executions := range w.trees {
		w.total.LargestTree = max(w.total.LargestTree, executions)
	}
	for _, s := range w.services {
		w.total.Executions += s.Executions
		w.total.Wasted += s.Wasted
	}
	if w.total.Executions > 0 {
		w.total.WastedShare = float64(w.total.Wasted) / float64(w.total.Executions)
	}
	w.total.Services = w.services
	return w.total
}

func (w *workStats) addUpstream(s *pomelo.LoadServiceWork, u *fakeup.Server) {
	c := u.Counters()
	w.total.CallerKeysSeen += c.CallerKeysSeen
	w.total.EventsDropped += c.EventsDropped
	s.Cancelled += c.Cancelled
	for _, e := range u.Events() {
		if e.Kind == pomelo.FakeEventStart {
			w.addExecution(s, e)
		}
	}
}

func (w *workStats) addExecution(s *pomelo.LoadServiceWork, e pomelo.FakeEvent) {
	s.Executions++
	w.trees[e.RootID]++
	if !w.completed.ids[e.RootID] {
		s.Wasted++
	}
	w.callIDs[e.CallID]++
	repeated := w.callIDs[e.CallID] > 1
	if repeated {
		w.total.Repeated++
	}
	if !w.nonIdempotent(s.Service, e.Path) {
		return
	}
	if repeated || w.isKeyRepeated(s.Service, e) {
		w.total.Duplicates++
	}
}

func (w *workStats) isKeyRepeated(service string, e pomelo.FakeEvent) bool {
	if e.IdempotencyKey == "" {
		return false
	}
	k := service + " " + e.Path + " " + e.IdempotencyKey
	w.keys[k]++
	return w.keys[k] > 1
}

func (w *workStats) nonIdempotent(service, path string) bool {
	return slices.ContainsFunc(w.fleet.Routes, func(r pomelo.Route) bool {
		_, prefix, _ := strings.Cut(r.Name, " ")
		return r.NonIdempotent && r.Service == service && (path == prefix || strings.HasPrefix(path, prefix+"/"))
	})
}
