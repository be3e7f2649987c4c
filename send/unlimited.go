package send

import "github.com/pomeloworks/pomelo"

// unlimited is the pomelo.RetryBudget that allows every retry.
type unlimited struct{}

// RecordCall does nothing.
func (unlimited) RecordCall(string) {}

// TryRetry allows every retry.
func (unlimited) TryRetry(pomelo.Call) bool { return true }
