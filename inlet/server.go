package inlet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Defaults until a policy says otherwise, in milliseconds and bytes.
const (
	defaultHeadTimeout = pomelo.Millis(3_000)
	defaultIdleTimeout = pomelo.Millis(15_000)
	defaultHeadBytes   = 16 << 10
	defaultBodyBytes   = 64 << 20
	// acceptPause is the pause after a failed accept, such as for want of descriptors.
	acceptPause = pomelo.Millis(20)
)

// Handler answers one request; the context ends when the caller's connection does, and when the server gives requests up.
type Handler func(ctx context.Context, r *http.Request, body []byte) pomelo.Reply

// Server accepts callers' connections.
type Server struct {
	clock    pomelo.Clock
	log      pomelo.Logger
	metrics  pomelo.Metrics
	handler  Handler
	limits   func() pomelo.TrafficLimits
	listener net.Listener
	mu       sync.Mutex
	conns    map[*conn]bool
	// run ends when requests under way are to be given up.
	run      context.Context
	stop     context.CancelFunc
	pending  atomic.Int64
	draining atomic.Bool
}

// New returns a server; limits are asked for at each request.
func New(clock pomelo.Clock, log pomelo.Logger, metrics pomelo.Metrics, handler Handler, limits func() pomelo.TrafficLimits, opts ...func(*Server)) *Server {
	s := &Server{clock: clock, log: log, metrics: metrics, handler: handler, limits: limits, conns: map[*conn]bool{}}
	s.run, s.stop = context.WithCancel(context.Background())
	for _, o := range opts {
		o(s)
	}
	return s
}

// Start listens on the address and serves in the background.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for callers: "+err.Error(), "choose another address for callers")
	}
	s.listener = l
	go s.accept()
	return nil
}

// Address is the TCP address that is listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Drain has each connection closed after its next answer.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Pending counts the requests that have been read and not answered.
func (s *Server) Pending() int {
	return int(s.pending.Load())
}

// Close takes no new connections and closes those without a request; requests under way still get their answers.
func (s *Server) Close() {
	s.draining.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// Abort has the requests under way given up: their handlers' contexts end, and what they answer is still delivered.
func (s *Server) Abort() {
	s.stop()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept_failed", "error", err.Error())
			_ = s.clock.Sleep(context.Background(), acceptPause)
			continue
		}
		k := newConn(s, c)
		s.mu.Lock()
		s.conns[k] = true
		s.mu.Unlock()
		go k.serve()
	}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) bounds() pomelo.TrafficLimits {
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
