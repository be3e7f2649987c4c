package fakekv

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

const maxBodyBytes = 2 * maxValueBytes // bytes; base64 adds a third to a value

type handler func(r *http.Request) (any, error)

func (s *Server) registerRoutes() {
	s.engine.GET("/record", s.serve(opGet, s.get))
	s.engine.GET("/records", s.serve(opList, s.list))
	s.engine.POST("/record", s.serve(opPut, s.put))
	s.engine.POST("/lease", s.serve(opGrant, s.grant))
	s.engine.POST("/lease/renew", s.serve(opRenew, s.renew))
	s.engine.POST("/lease/revoke", s.serve(opRevoke, s.revoke))
	s.engine.GET("/watch", s.serve(opWatch, s.watch))
	s.engine.GET("/counters", s.serveCounters)
	s.engine.POST("/fault", s.serveFault)
}

func (s *Server) serve(op operation, h handler) gin.HandlerFunc {
	return func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
		if err := s.startCall(c.Request.Context(), op); err != nil {
			closeConnection(c)
			return
		}
		response, err := h(c.Request)
		if err != nil {
			writeFault(c, err)
			return
		}
		if s.dropsResponse(op) {
			closeConnection(c)
			return
		}
		c.JSON(http.StatusOK, response)
	}
}

func (s *Server) serveCounters(c *gin.Context) {
	s.mu.Lock()
	n := s.counters
	s.mu.Unlock()
	c.JSON(http.StatusOK, n)
}

func (s *Server) serveFault(c *gin.Context) {
	var f pomelo.StoreFault
	if err := decode(c.Request, &f); err != nil {
		writeFault(c, err)
		return
	}
	s.SetFault(f)
	c.JSON(http.StatusOK, f)
}

func writeFault(c *gin.Context, err error) {
	if errors.Is(err, errCloseConnection) {
		closeConnection(c)
		return
	}
	f := pomelo.FaultOf(err)
	c.JSON(statusOf(f.Kind), f)
}

func statusOf(k pomelo.Kind) int {
	switch k {
	case pomelo.KindNotFound:
		return http.StatusNotFound
	case pomelo.KindConflict:
		return http.StatusConflict
	case pomelo.KindLeaseExpired, pomelo.KindWatchCompacted:
		return http.StatusGone
	case pomelo.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case pomelo.KindBadRequest:
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}

func decode(r *http.Request, target any) error {
	err := json.NewDecoder(r.Body).Decode(target)
	if err == nil {
		return nil
	}
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return tooLarge()
	}
	return pomelo.NewFault(pomelo.KindBadRequest, "unreadable body: "+err.Error(), "send JSON as docs/store_protocol.md has it")
}
