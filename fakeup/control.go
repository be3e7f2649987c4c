package fakeup

import (
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

func (s *Server) serveEvents(c *gin.Context) { c.JSON(http.StatusOK, s.Events()) }

func (s *Server) serveCounters(c *gin.Context) { c.JSON(http.StatusOK, s.Counters()) }

func (s *Server) serveFault(c *gin.Context) {
	var f pomelo.FakeFault
	if err := c.ShouldBindJSON(&f); err != nil {
		c.JSON(http.StatusBadRequest, pomelo.NewFault(pomelo.KindBadRequest, err.Error(), "send a fault as JSON"))
		return
	}
	s.SetFault(f)
	c.Status(http.StatusNoContent)
}

func (s *Server) serveHealth(c *gin.Context) {
	s.abortIfDown()
	if s.healthy() {
		c.Status(http.StatusOK)
		return
	}
	c.Status(http.StatusServiceUnavailable)
}

func (s *Server) serveLoad(c *gin.Context) {
	s.abortIfDown()
	c.JSON(http.StatusOK, s.laggedLoad())
}

// abortIfDown closes the connection if the server is down; net/http does so on this panic.
func (s *Server) abortIfDown() {
	if s.currentFault().Down {
		panic(http.ErrAbortHandler)
	}
}
