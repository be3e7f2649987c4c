package admin

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bound"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 10

func (s *Server) handleCommand(g *gin.Context) {
	var r pomelo.CommandRequest
	g.Request.Body = http.MaxBytesReader(g.Writer, g.Request.Body, maxBodyBytes)
	if err := g.ShouldBindJSON(&r); err != nil {
		f := pomelo.NewFault(pomelo.KindBadCommand, "the request can't be read: "+err.Error(), "send id and command as JSON")
		s.audit(g, r, pomelo.CommandResult{}, f)
		s.writeRefusal(g, pomelo.CommandResult{Fault: f})
		return
	}
	if r.ID == "" {
		r.ID = uuid.Must(uuid.NewV7()).String()
	}
	var out pomelo.CommandResult
	var err error
	ctx := g.Request.Context()
	if !bound.Run(ctx, func() { out, err = s.execute(ctx, r) }) {
		return
	}
	out.ID = r.ID
	s.audit(g, r, out, err)
	if err != nil {
		out.Fault = pomelo.FaultOf(err)
		s.writeRefusal(g, out)
		return
	}
	g.JSON(http.StatusOK, out)
}

func (s *Server) execute(ctx context.Context, r pomelo.CommandRequest) (pomelo.CommandResult, error) {
	if len(r.ID) > maxIDBytes {
		return pomelo.CommandResult{}, pomelo.NewFault(pomelo.KindBadCommand, "the command id is too long", "give at most 64 bytes, such as a UUID")
	}
	c, err := s.parser.Parse(r.Command)
	if err != nil {
		return pomelo.CommandResult{}, err
	}
	return s.run(ctx, r, c)
}

func (s *Server) writeRefusal(g *gin.Context, out pomelo.CommandResult) {
	g.JSON(pomelo.HTTPStatus(out.Fault.Kind), out)
}
