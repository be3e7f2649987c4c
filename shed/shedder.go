package shed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

// probeShare is the share of requests below a service's shed threshold that are sent all the same, to find out when the service stops refusing.
const probeShare = 0.005

// Shedder implements pomelo.Handler for requests that enter the fleet at this node.
type Shedder struct {
	clock          pomelo.Clock
	next           pomelo.Handler
	metrics        pomelo.Metrics
	mu             sync.Mutex
	random         *rand.Rand
	callGraphs     map[string]callGraph
	thresholds     map[thresholdKey]*threshold
	subCallCutoffs subCallCutoffs
}

// New returns a shedder that passes the requests it admits to next; it refuses nothing before it has seen answers.
func New(clock pomelo.Clock, next pomelo.Handler, metrics pomelo.Metrics, opts ...func(*Shedder)) *Shedder {
	s := &Shedder{
		clock:          clock,
		next:           next,
		metrics:        metrics,
		random:         rand.New(rand.NewPCG(0, 0)),
		callGraphs:     map[string]callGraph{},
		thresholds:     map[thresholdKey]*threshold{},
		subCallCutoffs: subCallCutoffs{},
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

// Handle refuses the request at once if a service that its route needs is refusing requests at its position in the shedding order; otherwise it passes the request on and updates its state from the answer.
func (s *Shedder) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if f := s.refusal(c); f != nil {
		s.metrics.Count("shed.refused", 1)
		a := pomelo.Refuse(c.ID, f)
		a.RetriesLeft = c.RetriesLeft
		return a
	}
	a := s.next.Handle(ctx, c)
	s.update(c, a)
	return a
}

func (s *Shedder) refusal(c pomelo.Call) *pomelo.Fault {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := s.callGraphs[c.RouteName]
	for service, calls := range expected {
		if calls < minCalls {
			continue
		}
		position := rank.Of(c).Position()
		if service != c.Service && position < s.subCallCutoffs.position(now, service) {
			return pomelo.NewOverload("service "+service+", which the request needs, turns calls away", s.random.Float64())
		}
		if position >= s.threshold(service, c.Account).at(now) {
			continue
		}
		if s.random.Float64() < probeShare {
			break
		}
		return pomelo.NewOverload("service "+service+", which the request needs, is overloaded", s.random.Float64())
	}
	s.subCallCutoffs.recordAdmitted(c, expected)
	return nil
}

func (s *Shedder) update(c pomelo.Call, a pomelo.Answer) {
	now := s.clock.Now()
	complete := a.Refusal == nil && a.Status < http.StatusInternalServerError
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callGraph(c.RouteName).update(a.SubtreeCalls, complete)
	s.subCallCutoffs.recordOutcome(now, c, a)
	for _, v := range a.SubtreeCalls {
		s.updateThreshold(now, thresholdKey{service: v.Service, account: c.Account}, v.ShedThreshold)
	}
}

func (s *Shedder) updateThreshold(now pomelo.Millis, k thresholdKey, reported float64) {
	t := s.thresholds[k]
	if t == nil && reported == 0 {
		return
	}
	if t == nil {
		s.removeExpired(now)
		t = &threshold{}
		s.thresholds[k] = t
	}
	t.update(now, reported)
	if t.value == 0 {
		delete(s.thresholds, k)
	}
}

// removeExpired deletes the thresholds that are no longer in force.
func (s *Shedder) removeExpired(now pomelo.Millis) {
	for k, t := range s.thresholds {
		if t.at(now) == 0 {
			delete(s.thresholds, k)
		}
	}
}

func (s *Shedder) threshold(service, account string) *threshold {
	return s.thresholds[thresholdKey{service: service, account: account}]
}

func (s *Shedder) callGraph(route string) callGraph {
	g := s.callGraphs[route]
	if g == nil {
		g = callGraph{}
		s.callGraphs[route] = g
	}
	return g
}
