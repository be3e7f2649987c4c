package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/ledger"
)

const (
	drainRetryAfter   = pomelo.Millis(100)
	defaultBodyLimit  = 1 << 20
	idlePerUpstream   = 4096
	headerCallID      = pomelo.HeaderPrefix + "Call-Id"
	upstreamIdleLimit = pomelo.Millis(30_000)
)

// Server implements pomelo.Handler for the upstream beside this node.
type Server struct {
	clock     pomelo.Clock
	config    pomelo.Configuration
	gate      pomelo.ConcurrencyLimiter
	ledger    *ledger.Ledger
	metrics   pomelo.Metrics
	bodyLimit int
	client    *http.Client
	mu        sync.RWMutex
	upstream  pomelo.Upstream
	draining  atomic.Bool
	closed    atomic.Bool
	running   atomic.Int64
}

// New returns a server that refuses every call until an upstream is announced.
func New(clock pomelo.Clock, config pomelo.Configuration, gate pomelo.ConcurrencyLimiter, l *ledger.Ledger, metrics pomelo.Metrics, opts ...func(*Server)) *Server {
	s := &Server{
		clock:     clock,
		config:    config,
		gate:      gate,
		ledger:    l,
		metrics:   metrics,
		bodyLimit: defaultBodyLimit,
	}
	for _, o := range opts {
		o(s)
	}
	s.client = newClient()
	return s
}

// WithBodyLimit bounds an answer's body in bytes.
func WithBodyLimit(n int) func(*Server) {
	return func(s *Server) { s.bodyLimit = n }
}

// Announce sets the upstream; a zero value withdraws it.
func (s *Server) Announce(u pomelo.Upstream) {
	s.mu.Lock()
	s.upstream = u
	s.mu.Unlock()
	s.gate.SetCapacity(u.Slots, u.Connections)
}

// Upstream returns what was announced last.
func (s *Server) Upstream() pomelo.Upstream {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.upstream
}

// Drain marks every answer from now on, so that callers stop choosing this node.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shut refuses every new call; calls that run go on.
func (s *Server) Shut() {
	s.closed.Store(true)
}

// Reopen takes Drain and Shut back.
func (s *Server) Reopen() {
	s.draining.Store(false)
	s.closed.Store(false)
}

// Running counts the calls that are queued or run.
func (s *Server) Running() int {
	return int(s.running.Load())
}

// Handle runs one call; its refusals say truthfully whether it ran.
func (s *Server) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	s.running.Add(1)
	defer s.running.Add(-1)
	a := s.validated(ctx, c)
	a.CallID = c.ID
	a.Draining = s.draining.Load()
	a.SubtreeCalls = s.visited(a.SubtreeCalls, c)
	s.metrics.Count(outcome(a), 1)
	return a
}

func (s *Server) validated(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if err := validate(c); err != nil {
		return refuse(c, err)
	}
	c.Deadline = s.clock.Now() + c.TimeLeft
	return s.handle(ctx, c)
}

func (s *Server) handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	u := s.Upstream()
	if err := s.check(c, u); err != nil {
		return refuse(c, err)
	}
	p, err := s.gate.Acquire(ctx, c)
	if err != nil {
		return refuse(c, err)
	}
	// The key may have been withdrawn, or the upstream gone, while the call waited.
	if err := s.check(c, u); err != nil {
		p.Release(0, false)
		return refuse(c, err)
	}
	return s.run(ctx, c, u, p)
}

func (s *Server) run(ctx context.Context, c pomelo.Call, u pomelo.Upstream, p pomelo.Permit) pomelo.Answer {
	ctx, token := s.ledger.Open(ctx, c)
	s.ledger.OnWait(token, p.SetWaiting)
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - s.clock.Now()).Duration())
	defer cancel()
	a := s.exchange(ctx, c, u, token)
	// Closing the record ends ctx, which would make every answer look late.
	good := s.isGood(ctx, c, a)
	closing := s.ledger.Close(token)
	p.Release(closing.SelfTime, good)
	a.SelfTime = closing.SelfTime
	a.RetriesLeft = closing.RetriesLeft
	a.SubtreeCalls = closing.SubtreeCalls
	s.metrics.Time("serve.own_ms", float64(closing.SelfTime))
	return a
}

// isGood leaves out answers that came late, that nobody waits for any more, or that report the upstream's own failure.
func (s *Server) isGood(ctx context.Context, c pomelo.Call, a pomelo.Answer) bool {
	if a.Refusal != nil || ctx.Err() != nil || s.clock.Now() > c.Deadline {
		return false
	}
	return a.Status < http.StatusInternalServerError
}

func (s *Server) check(c pomelo.Call, u pomelo.Upstream) error {
	if s.closed.Load() {
		f := pomelo.NewFault(pomelo.KindDraining, "the upstream is leaving", "send the request to another upstream")
		f.RetryAfter = drainRetryAfter
		return f
	}
	if u.Service == "" || u.Service != c.Service {
		return pomelo.NewFault(pomelo.KindNoUpstream, "no upstream of service "+c.Service+" is announced here", "send the request to another upstream")
	}
	if c.Deadline <= s.clock.Now() {
		return pomelo.NewFault(pomelo.KindDeadline, "the request's deadline has passed", "allow more time")
	}
	return s.checkKey(c)
}

func (s *Server) checkKey(c pomelo.Call) error {
	if c.KeyID == "" {
		return nil
	}
	k, ok := s.config.Key(c.KeyID)
	if ok && k.Withdrawn {
		return pomelo.NewFault(pomelo.KindKeyWithdrawn, "the key has been withdrawn", "ask the operators for a new key")
	}
	return nil
}

func (s *Server) visited(below []pomelo.SubtreeCalls, c pomelo.Call) []pomelo.SubtreeCalls {
	if c.Service != s.Upstream().Service {
		return below
	}
	own := pomelo.SubtreeCalls{Service: c.Service, Calls: 1, ShedThreshold: s.gate.ShedThreshold(c.Account)}
	for i, v := range below {
		if v.Service == c.Service {
			below[i].Calls++
			below[i].ShedThreshold = own.ShedThreshold
			return below
		}
	}
	return append(below, own)
}

func refuse(c pomelo.Call, err error) pomelo.Answer {
	a := pomelo.Refuse(c.ID, pomelo.FaultOf(err))
	a.RetriesLeft = c.RetriesLeft
	return a
}

func outcome(a pomelo.Answer) string {
	if a.Refusal == nil {
		return "serve.whole"
	}
	return "serve.refused." + string(a.Refusal.Kind)
}
