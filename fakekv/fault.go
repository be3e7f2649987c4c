package fakekv

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

// errHangUp asks for the connection to be closed without an answer.
var errHangUp = errors.New("hang up")

// SetFault replaces the faults in force; Down and CutWatches break the waiting watches at once.
func (s *Server) SetFault(f pomelo.StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f.Down || f.DropWatches {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

// arrive counts the call and makes it suffer the faults that come before its effect.
func (s *Server) arrive(ctx context.Context, op operation) error {
	f := s.count(op)
	if f.Down {
		return errHangUp
	}
	if f.Delay <= 0 {
		return nil
	}
	if op.isWrite() {
		// A slow write takes effect although its caller has given up.
		ctx = context.WithoutCancel(ctx)
	}
	if err := s.clock.Sleep(ctx, f.Delay); err != nil || s.isDown() {
		return errHangUp
	}
	return nil
}

func (s *Server) count(op operation) pomelo.StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.add(op)
	return s.fault
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Down
}

// losesAnswer uses up one of the answers to lose after an effective write.
func (s *Server) losesAnswer(op operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !op.isWrite() || s.fault.DropResponses <= 0 {
		return false
	}
	s.fault.DropResponses--
	return true
}

func hangUp(c *gin.Context) {
	conn, _, err := c.Writer.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}
