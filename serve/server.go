package serve

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/logs"
)

const (
	drainRetryAfter  = pomelo.Millis(100)
	defaultBodyLimit = 1 << 20
	maxIdleConns     = 4096
	headerCallID     = pomelo.HeaderPrefix + "Call-Id"
	idleConnTimeout  = pomelo.Millis(30_000)
)

// Server implements pomelo.Handler for this node's local upstream.
type Server struct {
	clock     pomelo.Clock
	config    pomelo.Configuration
	limiter   pomelo.ConcurrencyLimiter
	ledger    *ledger.Ledger
	metrics   pomelo.Metrics
	log       pomelo.Logger
	bodyLimit int
	client    *http.Client
	mu        sync.RWMutex
	upstream  pomelo.Upstream
	draining  atomic.Bool
	closed    atomic.Bool
	running   atomic.Int64
}

// New returns a server that refuses every call until an upstream is announced.
func New(clock pomelo.Clock, config pomelo.Configuration, limiter pomelo.ConcurrencyLimiter, l *ledger.Ledger, metrics pomelo.Metrics, opts ...func(*Server)) *Server {
	s := &Server{
		clock:     clock,
		config:    config,
		limiter:   limiter,
		ledger:    l,
		metrics:   metrics,
		log:       logs.New(io.Discard),
		bodyLimit: defaultBodyLimit,
	}
	for _, o := range opts {
		o(s)
	}
	s.client = newClient(int64(s.bodyLimit))
	return s
}

// WithBodyLimit sets the maximum size of an answer's body in bytes.
func WithBodyLimit(n int) func(*Server) {
	return func(s *Server) { s.bodyLimit = n }
}

// WithLog logs each call that failed at the upstream.
func WithLog(log pomelo.Logger) func(*Server) {
	return func(s *Server) { s.log = log }
}

// Announce sets the upstream; the zero value removes it.
func (s *Server) Announce(u pomelo.Upstream) {
	s.mu.Lock()
	s.upstream = u
	s.mu.Unlock()
	s.limiter.SetCapacity(u.Slots, u.Connections)
}

// Upstream returns the upstream that was announced last.
func (s *Server) Upstream() pomelo.Upstream {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.upstream
}

// Drain marks every answer as coming from a draining node, so that senders stop choosing it.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// RejectNewCalls refuses every new call; running calls continue.
func (s *Server) RejectNewCalls() {
	s.closed.Store(true)
}

// Resume reverts Drain and RejectNewCalls.
func (s *Server) Resume() {
	s.draining.Store(false)
	s.closed.Store(false)
}

// Running returns the number of queued and running calls.
func (s *Server) Running() int {
	return int(s.running.Load())
}

// Handle runs one call; a refusal states whether the call ran.
func (s *Server) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	s.running.Add(1)
	defer s.running.Add(-1)
	a := s.validateAndHandle(ctx, c)
	a.CallID = c.ID
	a.Draining = s.draining.Load()
	a.SubtreeCalls = s.addSubtreeCalls(a.SubtreeCalls, c)
	s.metrics.Count(outcomeMetric(a), 1)
	return a
}

func (s *Server) validateAndHandle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if err := validate(c); err != nil {
		return refuse(c, err)
	}
	c.Deadline = s.clock.Now() + c.TimeLeft
	return s.admitAndRun(ctx, c)
}

func (s *Server) admitAndRun(ctx context.Context, c pomelo.Call) pomelo.Answer {
	u := s.Upstream()
	if err := s.check(c, u); err != nil {
		return refuse(c, err)
	}
	permit, err := s.limiter.Acquire(ctx, c)
	if err != nil {
		return refuse(c, err)
	}
	// While the call was queued, its key may have been withdrawn or the upstream removed.
	if err := s.check(c, u); err != nil {
		permit.Release(0, false)
		return refuse(c, err)
	}
	return s.run(ctx, c, u, permit)
}

func (s *Server) run(ctx context.Context, c pomelo.Call, u pomelo.Upstream, permit pomelo.Permit) pomelo.Answer {
	ctx, token := s.ledger.Open(ctx, c)
	s.ledger.OnWait(token, permit.SetWaiting)
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - s.clock.Now()).Duration())
	defer cancel()
	a := s.exchange(ctx, c, u, token)
	if a.Refusal != nil && a.Refusal.Kind == pomelo.KindUpstreamFailed {
		s.log.Info("call_failed", "call", c.ID, "root", c.RootID, "service", c.Service, "kind", a.Refusal.Kind, "reason", a.Refusal.Message, "ran", a.Refusal.Ran)
	}
	// Checked before the record is closed: that cancels ctx, which would make every answer look late.
	complete := s.isComplete(ctx, c, a)
	summary := s.ledger.Close(token)
	permit.Release(summary.SelfTime, complete)
	a.SelfTime = summary.SelfTime
	a.RetriesLeft = summary.RetriesLeft
	a.SubtreeCalls = summary.SubtreeCalls
	s.metrics.Time("serve.own_ms", float64(summary.SelfTime))
	return a
}

// isComplete reports whether the answer arrived in time, is still awaited, and is not a server error of the upstream.
func (s *Server) isComplete(ctx context.Context, c pomelo.Call, a pomelo.Answer) bool {
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

func (s *Server) addSubtreeCalls(subtreeCalls []pomelo.SubtreeCalls, c pomelo.Call) []pomelo.SubtreeCalls {
	if c.Service != s.Upstream().Service {
		return subtreeCalls
	}
	self := pomelo.SubtreeCalls{Service: c.Service, Calls: 1, ShedThreshold: s.limiter.ShedThreshold(c.Account)}
	for i, e := range subtreeCalls {
		if e.Service == c.Service {
			subtreeCalls[i].Calls++
			subtreeCalls[i].ShedThreshold = self.ShedThreshold
			return subtreeCalls
		}
	}
	return append(subtreeCalls, self)
}

func refuse(c pomelo.Call, err error) pomelo.Answer {
	a := pomelo.Refuse(c.ID, pomelo.FaultOf(err))
	a.RetriesLeft = c.RetriesLeft
	return a
}

func outcomeMetric(a pomelo.Answer) string {
	if a.Refusal == nil {
		return "serve.whole"
	}
	return "serve.refused." + string(a.Refusal.Kind)
}
