package sizes

import (
	"sync"
)

const (
	// weight is that of the newest answer in a route's estimate, so that a single long answer is no reason to refuse many requests.
	weight = 0.1
	// forgetDivisor is the part of the minimum below which a route is forgotten.
	forgetDivisor = 16
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Sizes remembers the mean size of the recent answers of each route; it is safe for concurrent use.
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
	n := s.routes[route]
	if n < s.minimum {
		return 0
	}
	return int64(n)
}

// Record notes the bytes of an answer; short answers of routes without long ones are not remembered.
func (s *Sizes) Record(route string, bytes int) {
	n := float64(bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.routes[route]
	if !ok && (n < s.minimum || len(s.routes) >= maxRoutes) {
		return
	}
	known += weight * (n - known)
	if known < s.minimum/forgetDivisor {
		delete(s.routes, route)
		return
	}
	s.routes[route] = known
}
