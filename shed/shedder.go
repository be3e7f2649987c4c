package shed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

// probeShare of the requests to be refused pass all the same, to find out when to stop.
const probeShare = 0.005

// Shedder implements pomelo.Handler for requests that enter at this node.
type Shedder struct {
	clock   pomelo.Clock
	next    pomelo.Handler
	metrics pomelo.Metrics
	mu      sync.Mutex
	random  *rand.Rand
	graphs  map[string]graph
	levels  map[share]*level
	chains  chains
}

// New returns a shedder that knows nothing yet and hands requests to next.
func New(clock pomelo.Clock, next pomelo.Handler, metrics pomelo.Metrics, opts ...func(*Shedder)) *Shedder {
	s := &Shedder{
		clock:   clock,
		next:    next,
		metrics: metrics,
		random:  rand.New(rand.NewPCG(0, 0)),
		graphs:  map[string]graph{},
		levels:  map[share]*level{},
		chains:  chains{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// WithSeed seeds the choice of probes and the jitter of RetryAfter.
func WithSeed(seed uint64) func(*Shedder) {
	return func(s *Shedder) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// Handle refuses the request at once if a service it needs is refusing its like; else it learns from the answer.
func (s *Shedder) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if f := s.refusal(c); f != nil {
		s.metrics.Count("shed.refused", 1)
		a := pomelo.Refuse(c.ID, f)
		a.RetriesLeft = c.RetriesLeft
		return a
	}
	a := s.next.Handle(ctx, c)
	s.learn(c, a)
	return a
}

func (s *Shedder) refusal(c pomelo.Call) *pomelo.Fault {
	now := s.clock.Now()
	position := rank.Of(c).Position()
	s.mu.Lock()
	defer s.mu.Unlock()
	needs := s.graphs[c.RouteName]
	for service, calls := range needs {
		if calls < leastCalls {
			continue
		}
		if service != c.Service && position < s.chains.cutoff(now, service) {
			return pomelo.NewOverload("service "+service+", which the request needs, turns calls away", s.random.Float64())
		}
		if position >= s.level(service, c.Account).at(now) {
			continue
		}
		if s.random.Float64() < probeShare {
			break
		}
		return pomelo.NewOverload("service "+service+", which the request needs, is overloaded", s.random.Float64())
	}
	s.chains.begun(c, needs)
	return nil
}

func (s *Shedder) learn(c pomelo.Call, a pomelo.Answer) {
	now := s.clock.Now()
	whole := a.Refusal == nil && a.Status < http.StatusInternalServerError
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graph(c.RouteName).learn(a.SubtreeCalls, whole)
	s.chains.ended(now, c, a)
	for _, v := range a.SubtreeCalls {
		s.learnLevel(now, share{service: v.Service, account: c.Account}, v.ShedThreshold)
	}
}

func (s *Shedder) learnLevel(now pomelo.Millis, k share, threshold float64) {
	l := s.levels[k]
	if l == nil && threshold == 0 {
		return
	}
	if l == nil {
		s.forget(now)
		l = &level{}
		s.levels[k] = l
	}
	l.learn(now, threshold)
	if l.value == 0 {
		delete(s.levels, k)
	}
}

// forget keeps the levels to those in force.
func (s *Shedder) forget(now pomelo.Millis) {
	for k, l := range s.levels {
		if l.at(now) == 0 {
			delete(s.levels, k)
		}
	}
}

func (s *Shedder) level(service, account string) *level {
	return s.levels[share{service: service, account: account}]
}

func (s *Shedder) graph(kind string) graph {
	g := s.graphs[kind]
	if g == nil {
		g = graph{}
		s.graphs[kind] = g
	}
	return g
}
