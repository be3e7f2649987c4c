package fakekv

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

// errCloseConnection makes the server close the connection without a response.
var errCloseConnection = errors.New("close the connection")

// SetFault replaces the injected faults; Down and DropWatches close the connections of waiting watches at once.
func (s *Server) SetFault(f pomelo.StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f.Down || f.DropWatches {
		close(s.watchesDropped)
		s.watchesDropped = make(chan struct{})
	}
}

// startCall counts the call and applies the faults that precede its effect.
func (s *Server) startCall(ctx context.Context, op operation) error {
	f := s.count(op)
	if f.Down {
		return errCloseConnection
	}
	if f.Delay <= 0 {
		return nil
	}
	if op.isWrite() {
		// A slow write takes effect even if its caller has given up.
		ctx = context.WithoutCancel(ctx)
	}
	if err := s.clock.Sleep(ctx, f.Delay); err != nil || s.isDown() {
		return errCloseConnection
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

// dropsResponse reports whether to drop the response to a successful write, and counts down the remaining responses to drop.
func (s *Server) dropsResponse(op operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !op.isWrite() || s.fault.DropResponses <= 0 {
		return false
	}
	s.fault.DropResponses--
	return true
}

func closeConnection(c *gin.Context) {
	conn, _, err := c.Writer.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}
