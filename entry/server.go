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
	"github.com/pomeloworks/pomelo/bound"
)

const (
	defaultBodyBytes  = 1 << 20
	defaultHeadBytes  = 64 << 10
	defaultTimeout    = pomelo.Millis(10_000)
	defaultRetries    = 2
	readHeaderTimeout = pomelo.Millis(10_000)
)

// Server is the HTTP listener for callers.
type Server struct {
	clock        pomelo.Clock
	config       pomelo.Configuration
	rates        pomelo.RateLimiter
	next         pomelo.Handler
	metrics      pomelo.Metrics
	log          pomelo.Logger
	outcomes     pomelo.OutcomeRecorder
	tls          *tls.Config
	bind         func(net.Listener) net.Listener
	maxBodyBytes int
	maxHeadBytes int
	timeout      pomelo.Millis
	retries      int
	http         *http.Server
	listener     net.Listener
	draining     atomic.Bool
}

// New returns a server that passes accepted calls to next.
func New(clock pomelo.Clock, config pomelo.Configuration, rates pomelo.RateLimiter, next pomelo.Handler, metrics pomelo.Metrics, log pomelo.Logger, opts ...func(*Server)) *Server {
	s := &Server{
		clock:        clock,
		config:       config,
		rates:        rates,
		next:         next,
		metrics:      metrics,
		log:          log,
		maxBodyBytes: defaultBodyBytes,
		maxHeadBytes: defaultHeadBytes,
		timeout:      defaultTimeout,
		retries:      defaultRetries,
		bind:         func(l net.Listener) net.Listener { return l },
	}
	for _, o := range opts {
		o(s)
	}
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.NoRoute(s.handle)
	s.http = &http.Server{
		Handler:           bound.Handler(g),
		ReadHeaderTimeout: readHeaderTimeout.Duration(),
		MaxHeaderBytes:    s.maxHeadBytes,
	}
	return s
}

// WithLimits sets the maximum size of a request's head and body in bytes, its default timeout in milliseconds, and its retries over all hops.
func WithLimits(l pomelo.LimitSettings) func(*Server) {
	return func(s *Server) {
		s.maxBodyBytes = l.BodyBytes
		s.maxHeadBytes = l.HeadBytes
		s.timeout = l.Timeout
		s.retries = l.Retries
	}
}

// WithOutcomeRecorder sets the recorder of requests that are refused before they become calls.
func WithOutcomeRecorder(o pomelo.OutcomeRecorder) func(*Server) {
	return func(s *Server) { s.outcomes = o }
}

// WithTLS serves callers over TLS.
func WithTLS(c *tls.Config) func(*Server) {
	return func(s *Server) { s.tls = c }
}

// WithListener sets the function that wraps the listener, such as one that bounds its connections.
func WithListener(bind func(net.Listener) net.Listener) func(*Server) {
	return func(s *Server) { s.bind = bind }
}

// Start listens on the address and serves in the background; an address that can't be used is KindBadSettings.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for callers: "+err.Error(), "choose another caller.address")
	}
	s.listener = l
	l = s.bind(l)
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	go s.serve(l)
	return nil
}

// Address returns the TCP address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Drain adds "Connection: close" to every answer, so that callers close their connections.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Resume reverts Drain.
func (s *Server) Resume() {
	s.draining.Store(false)
}

// Stop closes the listener and returns when every request has been answered, or with the context's error.
func (s *Server) Stop(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "stop the listener for callers")
}

func (s *Server) serve(l net.Listener) {
	err := bound.Serve(s.http, l)
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
		s.recordRefusal(c, err)
		s.writeAnswer(g, c, pomelo.Refuse(c.ID, pomelo.FaultOf(err)))
		return
	}
	ctx := g.Request.Context()
	var a pomelo.Answer
	if !bound.Run(ctx, func() { a = s.next.Handle(ctx, c) }) {
		a = pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindCanceled, "the connection was closed", "send the request again"))
	}
	if c.Account != "" && a.Refusal != nil && a.Refusal.Ran == pomelo.RanNo {
		s.rates.Refund(c.Account)
	}
	s.writeAnswer(g, c, a)
}

func (s *Server) recordRefusal(c pomelo.Call, err error) {
	if s.outcomes != nil {
		s.outcomes.Record(c.Service, c.Account, string(pomelo.FaultOf(err).Kind))
	}
}
