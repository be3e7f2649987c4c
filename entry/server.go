package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

const (
	defaultBodyLimit = 1 << 20
	defaultHeadLimit = 64 << 10
	defaultTimeout   = pomelo.Millis(10_000)
	defaultRetries   = 2
	readHeadTimeout  = pomelo.Millis(10_000)
)

// Server is the listener for callers.
type Server struct {
	clock     pomelo.Clock
	config    pomelo.Configuration
	rates     pomelo.RateLimiter
	next      pomelo.Handler
	metrics   pomelo.Metrics
	log       pomelo.Logger
	outcomes  pomelo.OutcomeRecorder
	tls       *tls.Config
	bodyLimit int
	headLimit int
	timeout   pomelo.Millis
	retries   int
	http      *http.Server
	listener  net.Listener
	draining  atomic.Bool
}

// New returns a server that hands accepted calls to next.
func New(clock pomelo.Clock, config pomelo.Configuration, rates pomelo.RateLimiter, next pomelo.Handler, metrics pomelo.Metrics, log pomelo.Logger, opts ...func(*Server)) *Server {
	s := &Server{
		clock:     clock,
		config:    config,
		rates:     rates,
		next:      next,
		metrics:   metrics,
		log:       log,
		bodyLimit: defaultBodyLimit,
		headLimit: defaultHeadLimit,
		timeout:   defaultTimeout,
		retries:   defaultRetries,
	}
	for _, o := range opts {
		o(s)
	}
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.NoRoute(s.handle)
	s.http = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: readHeadTimeout.Duration(),
		MaxHeaderBytes:    s.headLimit,
	}
	return s
}

// WithLimits bounds a request's head and body in bytes, its default timeout in milliseconds, and its retries.
func WithLimits(l pomelo.LimitSettings) func(*Server) {
	return func(s *Server) {
		s.bodyLimit = l.BodyBytes
		s.headLimit = l.HeadBytes
		s.timeout = l.Timeout
		s.retries = l.Retries
	}
}

// WithOutcomes counts the requests that are refused before they become calls.
func WithOutcomes(o pomelo.OutcomeRecorder) func(*Server) {
	return func(s *Server) { s.outcomes = o }
}

// WithTLS serves callers over TLS.
func WithTLS(c *tls.Config) func(*Server) {
	return func(s *Server) { s.tls = c }
}

// Start listens on the address and serves in the background; an address that can't be had is KindBadSettings.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for callers: "+err.Error(), "choose another caller.address")
	}
	s.listener = l
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	go s.serve(l)
	return nil
}

// Address is the TCP address that is listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Drain asks callers to close their connections after their next answer.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Resume takes Drain back.
func (s *Server) Resume() {
	s.draining.Store(false)
}

// Stop takes no new connection and returns when every request has been answered, or with the context's error.
func (s *Server) Stop(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "stop the listener for callers")
}

func (s *Server) serve(l net.Listener) {
	err := s.http.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Warn("caller_listener_failed", "error", err.Error())
	}
}

func (s *Server) handle(g *gin.Context) {
	if s.draining.Load() {
		g.Header("Connection", "close")
	}
	c, err := s.accept(g)
	if err != nil {
		s.refused(c, err)
		s.write(g, c, pomelo.Refuse(c.ID, pomelo.FaultOf(err)))
		return
	}
	a := s.next.Handle(g.Request.Context(), c)
	if c.Account != "" && a.Refusal != nil && a.Refusal.Ran == pomelo.RanNo {
		s.rates.Refund(c.Account)
	}
	s.write(g, c, a)
}

func (s *Server) refused(c pomelo.Call, err error) {
	if s.outcomes != nil {
		s.outcomes.Record(c.Service, c.Account, string(pomelo.FaultOf(err).Kind))
	}
}
