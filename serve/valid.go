package serve

import (
	"fmt"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

// Limits of a call's fields; the time left is in milliseconds.
const (
	maxTimeLeft = pomelo.Millis(24 * 3_600_000)
	maxRetries  = 1_000
	maxDepth    = 64
)

// validate rejects field values that no node of this version sends.
func validate(c pomelo.Call) error {
	switch {
	case c.Importance < 0 || c.Importance >= rank.Levels:
		return outOfRange("importance", c.Importance, "0 to 9")
	case c.TimeLeft < 0 || c.TimeLeft > maxTimeLeft:
		return outOfRange("budget_ms", int(c.TimeLeft), "0 to 86400000")
	case c.RetriesLeft < 0 || c.RetriesLeft > maxRetries:
		return outOfRange("retries", c.RetriesLeft, "0 to 1000")
	case c.Depth < 0 || c.Depth > maxDepth:
		return outOfRange("depth", c.Depth, "0 to 64")
	}
	return nil
}

func outOfRange(field string, value int, valid string) error {
	message := fmt.Sprintf("the call's %s of %d is out of range", field, value)
	return pomelo.NewFault(pomelo.KindBadRequest, message, "give it as "+valid)
}
