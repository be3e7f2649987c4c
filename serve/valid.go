package serve

import (
	"fmt"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

// The most that a call may ask for; the budget is in milliseconds.
const (
	mostBudget  = pomelo.Millis(24 * 3_600_000)
	mostRetries = 1_000
	mostDepth   = 64
)

// validate refuses what no node of this version sends.
func validate(c pomelo.Call) error {
	switch {
	case c.Importance < 0 || c.Importance >= rank.Levels:
		return invalid("importance", c.Importance, "0 to 9")
	case c.TimeLeft < 0 || c.TimeLeft > mostBudget:
		return invalid("budget_ms", int(c.TimeLeft), "0 to 86400000")
	case c.RetriesLeft < 0 || c.RetriesLeft > mostRetries:
		return invalid("retries", c.RetriesLeft, "0 to 1000")
	case c.Depth < 0 || c.Depth > mostDepth:
		return invalid("depth", c.Depth, "0 to 64")
	}
	return nil
}

func invalid(field string, value int, valid string) error {
	message := fmt.Sprintf("the call's %s of %d is out of range", field, value)
	return pomelo.NewFault(pomelo.KindBadRequest, message, "give it as "+valid)
}
