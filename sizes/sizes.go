package sizes

import (
	"sync"
)

const (
	// decay is the share of a route's estimate that remains after a shorter answer.
	decay = 0.9
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Sizes remembers the sizes of the answers of each route; it is safe for concurrent use.
type Sizes struct {
	mu      sync.Mutex
	minimum float64
	routes  map[string]float64
}

// New returns sizes that report answers of minimum bytes or more.
func New(minimum int64) *Sizes {
	return &Sizes{minimum: float64(minimum), routes: map[string]float64{}}
}

// Expect returns the bytes of the answer that the route is expected to give, or 0 if it is short or not known.
func (s *Sizes) Expect(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.routes[route])
}

// Record notes the bytes of an answer; short answers of routes without longer ones are not remembered.
func (s *Sizes) Record(route string, bytes int) {
	n := float64(bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.routes[route]
	if n < s.minimum && known == 0 {
		return
	}
	n = max(n, decay*known)
	if n < s.minimum {
		delete(s.routes, route)
		return
	}
	if known == 0 && len(s.routes) >= maxRoutes {
		return
	}
	s.routes[route] = n
}
