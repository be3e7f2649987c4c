package entry

import (
	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bound"
)

// writeAnswer writes the upstream's answer, or the refusal as JSON, with the root request's id in a header.
func (s *Server) writeAnswer(g *gin.Context, c pomelo.Call, a pomelo.Answer) {
	g.Header(pomelo.HeaderRootID, c.RootID)
	if a.Refusal != nil {
		s.metrics.Count("entry.refused."+string(a.Refusal.Kind), 1)
		pomelo.SetRefusalHeaders(g.Writer.Header(), a.Refusal)
		g.JSON(pomelo.HTTPStatus(a.Refusal.Kind), a.Refusal)
		return
	}
	s.metrics.Count("entry.whole", 1)
	for k, v := range a.Header {
		g.Writer.Header()[k] = v
	}
	g.Status(a.Status)
	if err := bound.Write(g.Request.Context(), g.Writer, a.Body); err != nil {
		s.log.Debug("caller_gone", "root", c.RootID, "error", err.Error())
	}
}
