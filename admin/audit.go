package admin

import (
	"regexp"

	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

const (
	// operatorDigits of the token's hash name the operator in the audit line.
	operatorDigits = 8
	contextKey     = "operator"
	idLimit        = 64 // bytes
	hidden         = "(hidden)"
)

var (
	// secretLike fits whatever may be a key's secret or a token that was typed in by mistake.
	secretLike = regexp.MustCompile(`[A-Za-z0-9_\-]{24,}`)
	// keyID is the hash that names a key, which may be logged.
	keyID    = regexp.MustCompile(`^[0-9a-f]{1,64}$`)
	uuidLike = regexp.MustCompile(`^[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}$`)
)

// audit writes one line for each command, whoever gave it and however it ended.
func (s *Server) audit(g *gin.Context, r pomelo.CommandRequest, out pomelo.CommandResult, err error) {
	outcome := "accepted"
	if err != nil {
		outcome = string(pomelo.FaultOf(err).Kind)
	}
	s.log.Info("command",
		"id", redact(r.ID),
		"operator", g.GetString(contextKey),
		"from", g.ClientIP(),
		"command", redact(r.Command),
		"outcome", outcome,
		"revision", out.Revision,
		"repeated", out.Repeated,
		"not_in_force", len(out.NotApplied),
	)
}

// redact hides what looks like a secret and isn't an id.
func redact(text string) string {
	return secretLike.ReplaceAllStringFunc(text, func(w string) string {
		if keyID.MatchString(w) || uuidLike.MatchString(w) {
			return w
		}
		return hidden
	})
}
