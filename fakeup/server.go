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
	defaultColdFactor = 4.0
	defaultLag        = pomelo.Millis(1000)
	// shutdownGrace bounds the wait for running requests once the announcement is withdrawn.
	shutdownGrace = 2 * time.Second
	headerTimeout = 5 * time.Second
	idleSubCalls  = 1024
)

// Server is one stand-in upstream; it is safe for concurrent use and runs once.
type Server struct {
	spec   pomelo.FakeUpstream
	clock  pomelo.Clock
	client *http.Client
	slots  *semaphore.Weighted
	ready  chan struct{}

	mutex   sync.Mutex
	address string
	started pomelo.Millis
	random  *rand.Rand
	fault   pomelo.FakeFault
	log     journal
	lagging lagged
}

// WithClock sets the clock that the server sleeps by.
func WithClock(c pomelo.Clock) func(*Server) {
	return func(s *Server) { s.clock = c }
}

// New returns a server for the spec; it listens only once Run is called.
func New(spec pomelo.FakeUpstream, opts ...func(*Server)) *Server {
	s := &Server{
		spec:   withDefaults(spec),
		clock:  systemClock{},
		ready:  make(chan struct{}),
		random: rand.New(rand.NewPCG(spec.Seed, 0)),
	}
	s.slots = semaphore.NewWeighted(int64(s.spec.Slots))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConns: idleSubCalls, MaxIdleConnsPerHost: idleSubCalls}}
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
		spec.LoadReportLag = defaultLag
	}
	return spec
}

// Ready is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Addr returns the host and port that the server listens on, empty before Ready.
func (s *Server) Addr() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// SetFault replaces the faults in force; requests that run already keep theirs.
func (s *Server) SetFault(f pomelo.FakeFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// Run serves until ctx ends, which is no error, and then withdraws the announcement; its error is a fault of KindBadSettings or KindInternal.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.spec.Address)
	if err != nil {
		f := pomelo.NewFault(pomelo.KindBadSettings, "cannot listen on "+s.spec.Address, "choose a free loopback address")
		return errors.Wrapf(f, "%v", err)
	}
	s.begin(l.Addr().String())
	web := &http.Server{Handler: s.router(), ReadHeaderTimeout: headerTimeout}
	g, running := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(web, s.limit(l)) })
	g.Go(func() error { return s.sample(running) })
	g.Go(func() error { return s.announce(running) })
	g.Go(func() error { return s.end(running, web) })
	return g.Wait()
}

func (s *Server) begin(address string) {
	s.mutex.Lock()
	s.address = address
	s.started = s.clock.Now()
	s.lagging.fill(s.load())
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

// end outlives ctx by the shutdown grace so that running requests may finish.
func (s *Server) end(ctx context.Context, web *http.Server) error {
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
