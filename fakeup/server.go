package fakeup

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
)

const (
	defaultColdFactor    = 4.0
	defaultLoadReportLag = pomelo.Millis(1000)
	// shutdownGrace bounds the wait for running requests after the announcement is withdrawn.
	shutdownGrace      = 2 * time.Second
	headerTimeout      = 5 * time.Second
	maxIdleConnections = 1024
)

// Server is one stand-in upstream; it is safe for concurrent use and can be run once.
type Server struct {
	spec   pomelo.FakeUpstream
	clock  pomelo.Clock
	client *http.Client
	slots  *semaphore.Weighted
	ready  chan struct{}

	mutex     sync.Mutex
	address   string
	startedAt pomelo.Millis
	random    *rand.Rand
	fault     pomelo.FakeFault
	log       eventLog
	samples   loadSamples
}

// WithClock sets the clock for the server's delays.
func WithClock(c pomelo.Clock) func(*Server) {
	return func(s *Server) { s.clock = c }
}

// New returns a server for the spec; it does not listen before Run is called.
func New(spec pomelo.FakeUpstream, opts ...func(*Server)) *Server {
	s := &Server{
		spec:   withDefaults(spec),
		clock:  systemClock{},
		ready:  make(chan struct{}),
		random: rand.New(rand.NewPCG(spec.Seed, 0)),
	}
	s.slots = semaphore.NewWeighted(int64(s.spec.Slots))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}}
	for _, o := range opts {
		o(s)
	}
	return s
}

func withDefaults(spec pomelo.FakeUpstream) pomelo.FakeUpstream {
	if spec.Slots < 1 {
		spec.Slots = 1
	}
	if spec.ColdFactor <= 0 {
		spec.ColdFactor = defaultColdFactor
	}
	if spec.LoadReportLag <= 0 {
		spec.LoadReportLag = defaultLoadReportLag
	}
	return spec
}

// Ready is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Addr returns the host and port that the server listens on, or an empty string before Ready is closed.
func (s *Server) Addr() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// SetFault replaces the injected faults; running requests are not affected.
func (s *Server) SetFault(f pomelo.FakeFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// Run serves until ctx is done, which is no error, and then withdraws the announcement; its error is a fault of KindBadSettings or KindInternal.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.spec.Address)
	if err != nil {
		f := pomelo.NewFault(pomelo.KindBadSettings, "cannot listen on "+s.spec.Address, "choose a free loopback address")
		return errors.Wrapf(f, "%v", err)
	}
	s.markReady(l.Addr().String())
	web := &http.Server{Handler: s.router(), ReadHeaderTimeout: headerTimeout}
	g, running := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(web, s.limitConnections(l)) })
	g.Go(func() error { return s.sample(running) })
	g.Go(func() error { return s.announce(running) })
	g.Go(func() error { return s.shutdown(running, web) })
	return g.Wait()
}

func (s *Server) markReady(address string) {
	s.mutex.Lock()
	s.address = address
	s.startedAt = s.clock.Now()
	s.samples.reset(s.load())
	s.mutex.Unlock()
	close(s.ready)
}

func serve(web *http.Server, l net.Listener) error {
	err := web.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	f := pomelo.NewFault(pomelo.KindInternal, "the stand-in upstream stopped serving", "start it again")
	return errors.Wrapf(f, "%v", err)
}

// shutdown waits until ctx is done, and then up to shutdownGrace for running requests to finish.
func (s *Server) shutdown(ctx context.Context, web *http.Server) error {
	<-ctx.Done()
	s.withdraw()
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := web.Shutdown(grace); err != nil {
		_ = web.Close()
	}
	s.client.CloseIdleConnections()
	return nil
}

func (s *Server) router() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.GET("/events", s.serveEvents)
	r.GET("/counters", s.serveCounters)
	r.POST("/fault", s.serveFault)
	r.GET("/health", s.serveHealth)
	r.GET("/load", s.serveLoad)
	r.NoRoute(s.serveCall)
	return r
}
