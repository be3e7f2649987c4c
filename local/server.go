package local

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bound"
	"github.com/pomeloworks/pomelo/ledger"
)

const (
	defaultBodyBytes = 1 << 20
	defaultHeadBytes = 64 << 10
	// maxAnnouncementBytes is the maximum size of an announcement.
	maxAnnouncementBytes = 64 << 10
	readHeaderTimeout    = pomelo.Millis(10_000)
)

// Server is the HTTP listener for the upstream of this node.
type Server struct {
	config       pomelo.Configuration
	ledger       *ledger.Ledger
	next         pomelo.Handler
	onAnnounce   func(pomelo.Upstream)
	log          pomelo.Logger
	maxBodyBytes int
	maxHeadBytes int
	bind         func(net.Listener) net.Listener
	http         *http.Server
	listener     net.Listener
}

// New returns a server that passes sub-calls to next and announcements to onAnnounce; a zero Upstream is a withdrawal.
func New(config pomelo.Configuration, l *ledger.Ledger, next pomelo.Handler, onAnnounce func(pomelo.Upstream), log pomelo.Logger, opts ...func(*Server)) *Server {
	s := &Server{
		config:       config,
		ledger:       l,
		next:         next,
		onAnnounce:   onAnnounce,
		log:          log,
		maxBodyBytes: defaultBodyBytes,
		maxHeadBytes: defaultHeadBytes,
		bind:         func(l net.Listener) net.Listener { return l },
	}
	for _, o := range opts {
		o(s)
	}
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.POST(pomelo.PathAnnounce, s.handleAnnounce)
	g.DELETE(pomelo.PathAnnounce, s.handleWithdraw)
	g.Any(pomelo.PathCall+":service/*path", s.handleCall)
	s.http = &http.Server{Handler: bound.Handler(g), ReadHeaderTimeout: readHeaderTimeout.Duration(), MaxHeaderBytes: s.maxHeadBytes}
	return s
}

// WithBodyLimit sets the maximum size of a sub-call's body in bytes.
func WithBodyLimit(n int) func(*Server) {
	return func(s *Server) { s.maxBodyBytes = n }
}

// WithHeadLimit sets the maximum size of a sub-call's head in bytes.
func WithHeadLimit(n int) func(*Server) {
	return func(s *Server) { s.maxHeadBytes = n }
}

// WithListener sets the function that wraps the listener, such as one that bounds its connections.
func WithListener(bind func(net.Listener) net.Listener) func(*Server) {
	return func(s *Server) { s.bind = bind }
}

// Start listens on a loopback address and serves in the background; an address that can't be used is KindBadSettings.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for the upstream: "+err.Error(), "choose another upstream.address")
	}
	s.listener = l
	go s.serve(s.bind(l))
	return nil
}

// Address returns the TCP address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Stop closes the listener and returns when every sub-call has been answered, or with the context's error.
func (s *Server) Stop(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "stop the listener for the upstream")
}

func (s *Server) serve(l net.Listener) {
	err := bound.Serve(s.http, l)
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Warn("upstream_listener_failed", "error", err.Error())
	}
}

func (s *Server) handleAnnounce(g *gin.Context) {
	var u pomelo.Upstream
	g.Request.Body = http.MaxBytesReader(g.Writer, g.Request.Body, maxAnnouncementBytes)
	if err := g.ShouldBindJSON(&u); err != nil || u.Service == "" || u.Address == "" {
		s.writeRefusal(g, pomelo.NewFault(pomelo.KindBadRequest, "the announcement can't be read", "send service and address as JSON"))
		return
	}
	s.onAnnounce(u)
	g.Status(http.StatusNoContent)
}

func (s *Server) handleWithdraw(g *gin.Context) {
	s.onAnnounce(pomelo.Upstream{})
	g.Status(http.StatusNoContent)
}

func (s *Server) handleCall(g *gin.Context) {
	token := g.GetHeader(pomelo.HeaderToken)
	c, err := s.readCall(g)
	if err != nil {
		s.writeRefusal(g, pomelo.FaultOf(err))
		return
	}
	ctx, c, err := s.ledger.BeginSubCall(token, c)
	if err != nil {
		s.writeRefusal(g, pomelo.FaultOf(err))
		return
	}
	// The sub-call is cancelled when its parent call finishes or the upstream closes its connection.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(g.Request.Context(), cancel)
	defer stop()
	a := pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindCanceled, "the connection was closed", "send the call again"))
	bound.Run(g.Request.Context(), func() { a = s.next.Handle(ctx, c) })
	s.ledger.FinishSubCall(token, a)
	s.writeAnswer(g, a)
}

func (s *Server) readCall(g *gin.Context) (pomelo.Call, error) {
	r := g.Request
	b, err := bound.ReadBody(r, int64(s.maxBodyBytes))
	var f *pomelo.Fault
	if errors.As(err, &f) {
		return pomelo.Call{}, f
	}
	if err != nil {
		return pomelo.Call{}, pomelo.NewFault(pomelo.KindTooLarge, "the body can't be read whole: "+err.Error(), "send a smaller body")
	}
	service := g.Param("service")
	c := pomelo.Call{
		Service: service,
		Method:  r.Method,
		Path:    strings.TrimPrefix(r.URL.RequestURI(), pomelo.PathCall+service),
		Header:  pomelo.EndToEndHeaders(r.Header),
		Body:    b,
	}
	c.IdempotencyKey = r.Header.Get(pomelo.HeaderIdempotency)
	c.NonIdempotent = s.isNonIdempotent(c, g.Param("path"))
	return c, nil
}

// isNonIdempotent returns the route's setting; without a route, POST and PATCH are non-idempotent, as in RFC 9110.
func (s *Server) isNonIdempotent(c pomelo.Call, path string) bool {
	if route, ok := s.config.Route(c.Method, path); ok && route.Service == c.Service {
		return route.NonIdempotent
	}
	return c.Method == http.MethodPost || c.Method == http.MethodPatch
}

func (s *Server) writeRefusal(g *gin.Context, f *pomelo.Fault) {
	pomelo.SetRefusalHeaders(g.Writer.Header(), f)
	g.JSON(pomelo.HTTPStatus(f.Kind), f)
}

func (s *Server) writeAnswer(g *gin.Context, a pomelo.Answer) {
	if a.Refusal != nil {
		s.writeRefusal(g, a.Refusal)
		return
	}
	for k, v := range a.Header {
		g.Writer.Header()[k] = v
	}
	g.Status(a.Status)
	if err := bound.Write(g.Request.Context(), g.Writer, a.Body); err != nil {
		s.log.Debug("upstream_gone", "call", a.CallID, "error", err.Error())
	}
}
