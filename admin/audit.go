package admin

import (
	"regexp"

	"github.com/gin-gonic/gin"
	"github.com/pomeloworks/pomelo"
)

const (
	// operatorHashDigits is the length of the prefix of the token's hash that identifies the operator in the audit log.
	operatorHashDigits = 8
	operatorContextKey = "operator"
	maxIDBytes         = 64
	redacted           = "(hidden)"
)

var (
	// secretPattern matches anything that may be a key's secret or a token entered by mistake.
	secretPattern = regexp.MustCompile(`[A-Za-z0-9_\-]{24,}`)
	// keyIDPattern matches the id of a key, which is a hash and may be logged.
	keyIDPattern = regexp.MustCompile(`^[0-9a-f]{1,64}$`)
	uuidPattern  = regexp.MustCompile(`^[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}$`)
)

// audit logs one line for each command of an authorized operator, also when the command fails.
func (s *Server) audit(g *gin.Context, r pomelo.CommandRequest, out pomelo.CommandResult, err error) {
	outcome := "accepted"
	if err != nil {
		outcome = string(pomelo.FaultOf(err).Kind)
	}
	s.log.Info("command",
		"id", redact(r.ID),
		"operator", g.GetString(operatorContextKey),
		"from", g.ClientIP(),
		"command", redact(r.Command),
		"outcome", outcome,
		"revision", out.Revision,
		"repeated", out.Repeated,
		"not_in_force", len(out.NotApplied),
	)
}

// redact replaces every word that may be a secret, except for key ids and UUIDs.
func redact(text string) string {
	return secretPattern.ReplaceAllStringFunc(text, func(w string) string {
		if keyIDPattern.MatchString(w) || uuidPattern.MatchString(w) {
			return w
		}
		return redacted
	})
}
