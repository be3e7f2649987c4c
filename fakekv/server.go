package fakekv

import (
	"context"
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
)

const (
	defaultHistoryEvents = 10_000             // events
	sweepInterval        = pomelo.Millis(100) // between two checks for expired leases
)

// Server is the stand-in store; it is an http.Handler that is safe for concurrent use.
type Server struct {
	engine *gin.Engine
	clock  pomelo.Clock

	mu    sync.Mutex
	state *state
	// epoch counts the calls of Restore.
	epoch    int64
	counters counters
	fault    pomelo.StoreFault
	// changed is closed and replaced when the state changes, watchesDropped when the connections of watches are to be closed.
	changed        chan struct{}
	watchesDropped chan struct{}
}

// New returns an empty store.
func New(opts ...func(*Server)) *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{
		engine:         gin.New(),
		clock:          clock.New(),
		state:          newState(defaultHistoryEvents),
		changed:        make(chan struct{}),
		watchesDropped: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.registerRoutes()
	return s
}

// WithClock sets the clock for lease expiry and the waits of watches.
func WithClock(c pomelo.Clock) func(*Server) {
	return func(s *Server) { s.clock = c }
}

// WithHistory sets how many events are retained for watches.
func WithHistory(events int) func(*Server) {
	return func(s *Server) { s.state.history.limit = events }
}

// ServeHTTP serves one call of the protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.engine.ServeHTTP(w, r)
}

// Run expires leases periodically until ctx is done, and returns the context's error.
func (s *Server) Run(ctx context.Context) error {
	for {
		if err := s.clock.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
		s.expireLeases()
	}
}

func (s *Server) expireLeases() {
	_ = s.withState(func(pomelo.Millis) error { return nil })
}

// withState expires leases, runs fn on the state, and wakes the watches if anything changed.
func (s *Server) withState(fn func(now pomelo.Millis) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.state.revision
	now := s.clock.Now()
	s.state.expireLeases(now)
	err := fn(now)
	if s.state.revision != previous {
		s.wake()
	}
	return err
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
