package intake

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// balancer distributes each route's requests over its targets by weight, so that any sequence of requests keeps the proportions.
type balancer struct {
	mu      sync.Mutex
	current map[string][]float64
}

// next returns the service of the next target by smooth weighted round robin.
func (b *balancer) next(r pomelo.TrafficRoute) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current[r.Name]
	if len(current) != len(r.Targets) {
		current = make([]float64, len(r.Targets))
		b.current[r.Name] = current
	}
	best, total := -1, 0.0
	for i, t := range r.Targets {
		current[i] += t.Weight
		total += t.Weight
		if t.Weight > 0 && (best < 0 || current[i] > current[best]) {
			best = i
		}
	}
	if best < 0 {
		return r.Targets[0].Service
	}
	current[best] -= total
	return r.Targets[best].Service
}
