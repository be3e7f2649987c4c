package bench

import (
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakeup"
)

// work reckons up the stand-ins' logs against the requests that were answered whole.
type work struct {
	fleet    pomelo.FleetPlan
	answered roots
	calls    map[string]int
	keys     map[string]int
	trees    map[string]int64
	services []pomelo.LoadServiceWork
	sum      pomelo.LoadWork
}

func newWork(f pomelo.FleetPlan) *work {
	w := &work{
		fleet:    f,
		answered: roots{ids: map[string]bool{}},
		calls:    map[string]int{},
		keys:     map[string]int{},
		trees:    map[string]int64{},
	}
	for _, s := range f.Services {
		w.services = append(w.services, pomelo.LoadServiceWork{Service: s.Upstream.Service})
	}
	return w
}

func (w *work) whole(root string) {
	w.answered.add(root)
}

// report reads the stand-ins' logs, which are in the order of the fleet's plan.
func (w *work) report(upstreams []*fakeup.Server) pomelo.LoadWork {
	n := 0
	for i, s := range w.fleet.Services {
		for range s.Count {
			w.read(&w.services[i], upstreams[n])
			n++
		}
	}
	for _, executions := range w.trees {
		w.sum.LargestTree = max(w.sum.LargestTree, executions)
	}
	for _, s := range w.services {
		w.sum.Executions += s.Executions
		w.sum.Wasted += s.Wasted
	}
	if w.sum.Executions > 0 {
		w.sum.WastedShare = float64(w.sum.Wasted) / float64(w.sum.Executions)
	}
	w.sum.Services = w.services
	return w.sum
}

func (w *work) read(s *pomelo.LoadServiceWork, u *fakeup.Server) {
	c := u.Counters()
	w.sum.CallerKeysSeen += c.CallerKeysSeen
	w.sum.EventsDropped += c.EventsDropped
	s.Cancelled += c.Cancelled
	for _, e := range u.Events() {
		if e.Kind == pomelo.FakeEventStart {
			w.start(s, e)
		}
	}
}

func (w *work) start(s *pomelo.LoadServiceWork, e pomelo.FakeEvent) {
	s.Executions++
	w.trees[e.RootID]++
	if !w.answered.ids[e.RootID] {
		s.Wasted++
	}
	w.calls[e.CallID]++
	again := w.calls[e.CallID] > 1
	if again {
		w.sum.Repeated++
	}
	if !w.nonIdempotent(s.Service, e.Path) {
		return
	}
	if again || w.keyAgain(s.Service, e) {
		w.sum.Duplicates++
	}
}

func (w *work) keyAgain(service string, e pomelo.FakeEvent) bool {
	if e.IdempotencyKey == "" {
		return false
	}
	k := service + " " + e.Path + " " + e.IdempotencyKey
	w.keys[k]++
	return w.keys[k] > 1
}

func (w *work) nonIdempotent(service, path string) bool {
	return slices.ContainsFunc(w.fleet.Routes, func(r pomelo.Route) bool {
		_, prefix, _ := strings.Cut(r.Name, " ")
		return r.NonIdempotent && r.Service == service && (path == prefix || strings.HasPrefix(path, prefix+"/"))
	})
}
