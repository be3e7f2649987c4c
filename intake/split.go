package intake

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// split deals a route's requests to its targets by weight, so that any run of requests keeps the proportions.
type split struct {
	mu     sync.Mutex
	credit map[string][]int
}

// next is smooth weighted round robin.
func (s *split) next(r pomelo.TrafficRoute) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit[r.Name]
	if len(credit) != len(r.Targets) {
		credit = make([]int, len(r.Targets))
		s.credit[r.Name] = credit
	}
	best, total := -1, 0
	for i, t := range r.Targets {
		credit[i] += t.Weight
		total += t.Weight
		if t.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return r.Targets[0].Service
	}
	credit[best] -= total
	return r.Targets[best].Service
}
