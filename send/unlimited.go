package send

// unlimited is the pomelo.RetryBudget that allows every retry.
type unlimited struct{}

// RecordCall does nothing.
func (unlimited) RecordCall(string) {}

// TryRetry allows every retry.
func (unlimited) TryRetry(string) bool { return true }
