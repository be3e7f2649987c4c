package shed

import "github.com/pomeloworks/pomelo"

const (
	graphWeight = 0.05
	// leastCalls a request is below what counts as needing the service.
	leastCalls = 0.05
	// mostServices bounds a graph.
	mostServices = 256
)

// graph holds the mean number of calls that one kind of request makes on each service.
type graph map[string]float64

// learn takes the visits of a whole answer; a failed one broke off somewhere and only tells of services not known yet.
func (g graph) learn(visits []pomelo.SubtreeCalls, whole bool) {
	for _, v := range visits {
		if _, ok := g[v.Service]; !ok && len(g) < mostServices {
			g[v.Service] = float64(v.Calls)
		}
	}
	if !whole {
		return
	}
	for service, mean := range g {
		g[service] = mean + graphWeight*(float64(calls(visits, service))-mean)
		if g[service] < leastCalls*graphWeight {
			delete(g, service)
		}
	}
}

func calls(visits []pomelo.SubtreeCalls, service string) int {
	for _, v := range visits {
		if v.Service == service {
			return v.Calls
		}
	}
	return 0
}
