package shed

import "github.com/pomeloworks/pomelo"

const (
	callGraphWeight = 0.05
	// A route needs a service if its requests make at least minCalls calls on it on average.
	minCalls = 0.05
	// maxServices bounds the services in one call graph.
	maxServices = 256
)

// callGraph holds the mean number of calls that the requests of one route make on each service.
type callGraph map[string]float64

// update averages the subtree calls of a complete answer into the graph. A failed request may have stopped early, so its calls only add services that are not in the graph yet.
func (g callGraph) update(subtreeCalls []pomelo.SubtreeCalls, complete bool) {
	for _, c := range subtreeCalls {
		if _, ok := g[c.Service]; !ok && len(g) < maxServices {
			g[c.Service] = float64(c.Calls)
		}
	}
	if !complete {
		return
	}
	for service, mean := range g {
		g[service] = mean + callGraphWeight*(float64(callsTo(subtreeCalls, service))-mean)
		if g[service] < minCalls*callGraphWeight {
			delete(g, service)
		}
	}
}

func callsTo(subtreeCalls []pomelo.SubtreeCalls, service string) int {
	for _, c := range subtreeCalls {
		if c.Service == service {
			return c.Calls
		}
	}
	return 0
}
