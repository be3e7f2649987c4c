package inlet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/evict"
	"github.com/pomeloworks/pomelo/guard"
)

// Limits that apply where the policy sets none.
const (
	defaultHeadTimeout = pomelo.Millis(3_000)
	defaultIdleTimeout = pomelo.Millis(15_000)
	defaultHeadBytes   = 16 << 10
	defaultBodyBytes   = 64 << 20
	defaultBudgetBytes = 128 << 20
	defaultMaxConns    = 1_024
	// defaultStallTimeout is the time in which a body or the reader of a reply must make progress.
	defaultStallTimeout = pomelo.Millis(20_000)
	// acceptRetryDelay applies after a failed accept, such as when file descriptors run out.
	acceptRetryDelay = pomelo.Millis(20)
)

// Handler answers one request; the context is cancelled when the caller closes the connection, and by Abort.
type Handler func(ctx context.Context, r *http.Request, body []byte) pomelo.Reply

// Server accepts the connections of callers.
type Server struct {
	clock    pomelo.Clock
	log      pomelo.Logger
	metrics  pomelo.Metrics
	handler  Handler
	limits   func() pomelo.TrafficLimits
	listener net.Listener
	maxConns int
	conns    *evict.Table
	// accepting ends with Close.
	accepting     context.Context
	stopAccepting context.CancelFunc
	stallTimeout  pomelo.Millis
	// requestContext is cancelled by Abort, and cancels the context of every running request.
	requestContext context.Context
	cancelRequests context.CancelFunc
	pending        atomic.Int64
	draining       atomic.Bool
	budget         *budget.Budget
	guard          *guard.Guard
}

// New returns a server that calls limits for each request.
func New(clock pomelo.Clock, log pomelo.Logger, metrics pomelo.Metrics, handler Handler, limits func() pomelo.TrafficLimits, opts ...func(*Server)) *Server {
	s := &Server{clock: clock, log: log, metrics: metrics, handler: handler, limits: limits, budget: budget.New(defaultBudgetBytes), maxConns: defaultMaxConns, stallTimeout: defaultStallTimeout, guard: guard.New(log)}
	s.requestContext, s.cancelRequests = context.WithCancel(context.Background())
	s.accepting, s.stopAccepting = context.WithCancel(context.Background())
	for _, o := range opts {
		o(s)
	}
	s.conns = evict.New(clock, log, metrics, "callers", s.maxConns)
	s.budget.OnShortage(s.conns.Reclaim)
	return s
}

// WithBudget sets the budget for the memory of connections, requests and replies; the server ends stalled connections when it is used up.
func WithBudget(b *budget.Budget) func(*Server) {
	return func(s *Server) { s.budget = b }
}

// WithMaxConns sets the maximum number of open connections; idle ones are closed for new ones.
func WithMaxConns(n int) func(*Server) {
	return func(s *Server) { s.maxConns = n }
}

// WithStallTimeout sets the time, in milliseconds, after which a body or the reader of a reply that makes no progress is given up; 0 leaves the default.
func WithStallTimeout(d pomelo.Millis) func(*Server) {
	return func(s *Server) {
		if d > 0 {
			s.stallTimeout = d
		}
	}
}

// Start listens on the address and serves in the background; an address that can't be used is KindBadSettings.
func (s *Server) Start(address string) error {
	l, err := bufferedListen(address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for callers: "+err.Error(), "choose another address for callers")
	}
	s.listener = l
	go s.acceptConns()
	return nil
}

// Address returns the TCP address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Drain closes each connection after its next reply.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Pending returns the number of requests that have been read and whose replies have not been written.
func (s *Server) Pending() int {
	return int(s.pending.Load())
}

// Close stops accepting connections and closes the idle ones; running requests still get their replies.
func (s *Server) Close() {
	s.stopAccepting()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.CloseIdle()
}

// CloseIdle closes the idle connections and drains; new connections are still accepted.
func (s *Server) CloseIdle() {
	s.draining.Store(true)
	s.conns.Each(func(c pomelo.ClientConn) {
		if k, ok := c.(*conn); ok {
			k.closeIdle()
		}
	})
}

// Abort cancels the contexts of the running requests; the replies of their handlers are still written.
func (s *Server) Abort() {
	s.cancelRequests()
}

func (s *Server) acceptConns() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept_failed", "error", err.Error())
			_ = s.clock.Sleep(context.Background(), acceptRetryDelay)
			continue
		}
		k := newConn(s, c)
		if err := s.conns.Add(s.accepting, k); err != nil {
			_ = c.Close()
			continue
		}
		go k.serve()
	}
}

// currentLimits returns the limits of the policy, with defaults for those that it does not set.
func (s *Server) currentLimits() pomelo.TrafficLimits {
	l := s.limits()
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	return l
}
