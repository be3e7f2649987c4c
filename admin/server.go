package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bound"
	"github.com/pomeloworks/pomelo/query"
)

const (
	bearer            = "Bearer "
	readHeaderTimeout = pomelo.Millis(10_000)
	// maxHeadBytes is the maximum size of a request's head.
	maxHeadBytes = 16 << 10
)

// Server serves POST /command, GET /burn, GET /metrics and GET /health.
type Server struct {
	burn        func(context.Context) pomelo.BurnReport
	parser      *query.Parser
	run         func(context.Context, pomelo.CommandRequest, pomelo.Command) (pomelo.CommandResult, error)
	metrics     func(io.Writer) error
	log         pomelo.Logger
	tokenHashes []string
	bind        func(net.Listener) net.Listener
	http        *http.Server
	listener    net.Listener
}

// New returns a server that runs parsed commands through run and writes metrics as JSON through metrics.
func New(parser *query.Parser, run func(context.Context, pomelo.CommandRequest, pomelo.Command) (pomelo.CommandResult, error), metrics func(io.Writer) error, log pomelo.Logger, opts ...func(*Server)) *Server {
	s := &Server{parser: parser, run: run, metrics: metrics, log: log, bind: func(l net.Listener) net.Listener { return l }}
	for _, o := range opts {
		o(s)
	}
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	// There is no proxy in front of this listener, so forwarding headers are not trusted.
	_ = g.SetTrustedProxies(nil)
	g.GET("/health", func(g *gin.Context) { g.String(http.StatusOK, "ok\n") })
	g.GET("/metrics", s.handleMetrics)
	g.POST("/command", s.authorize, s.handleCommand)
	if s.burn != nil {
		g.GET("/burn", s.authorize, s.handleBurn)
	}
	s.http = &http.Server{Handler: bound.Handler(g), ReadHeaderTimeout: readHeaderTimeout.Duration(), MaxHeaderBytes: maxHeadBytes}
	return s
}

// WithTokenHashes sets the hex SHA-256 hashes of the operators' tokens; without hashes, every command is refused.
func WithTokenHashes(hashes []string) func(*Server) {
	return func(s *Server) { s.tokenHashes = hashes }
}

// WithBurn enables GET /burn, which serves the report.
func WithBurn(report func(context.Context) pomelo.BurnReport) func(*Server) {
	return func(s *Server) { s.burn = report }
}

// WithListener sets the function that wraps the listener, such as one that bounds its connections.
func WithListener(bind func(net.Listener) net.Listener) func(*Server) {
	return func(s *Server) { s.bind = bind }
}

// Start listens on the TCP address and serves in the background; the error is KindBadSettings when it can't listen.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen for operators: "+err.Error(), "choose another admin.address")
	}
	s.listener = l
	bounded := s.bind(l)
	go func() {
		if err := bound.Serve(s.http, bounded); !errors.Is(err, http.ErrServerClosed) {
			s.log.Warn("admin_listener_failed", "error", err.Error())
		}
	}()
	return nil
}

// Address returns the TCP address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Stop closes the listener and returns once every running request has been answered, or with the context's error.
func (s *Server) Stop(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "stop the administration listener")
}

func (s *Server) handleMetrics(g *gin.Context) {
	g.Header("Content-Type", "application/json")
	if err := s.metrics(g.Writer); err != nil {
		s.log.Warn("metrics_not_written", "error", err.Error())
	}
}

func (s *Server) handleBurn(g *gin.Context) {
	ctx := g.Request.Context()
	bound.Run(ctx, func() { g.JSON(http.StatusOK, s.burn(ctx)) })
}

func (s *Server) authorize(g *gin.Context) {
	token, ok := strings.CutPrefix(g.GetHeader("Authorization"), bearer)
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	for _, t := range s.tokenHashes {
		if ok && subtle.ConstantTimeCompare(hash, []byte(t)) == 1 {
			g.Set(operatorContextKey, t[:min(len(t), operatorHashDigits)])
			return
		}
	}
	s.log.Warn("operator_unknown", "from", g.ClientIP(), "path", g.FullPath())
	f := pomelo.NewFault(pomelo.KindUnauthorized, "the operator's token is not known", "pass -token_file with a token whose hash is in admin.token_hashes")
	g.AbortWithStatusJSON(http.StatusUnauthorized, pomelo.CommandResult{Fault: f})
}
