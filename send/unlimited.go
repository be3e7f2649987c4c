package send

// unlimited is the pomelo.RetryLimiter that allows every retry.
type unlimited struct{}

// RecordCall counts nothing.
func (unlimited) RecordCall(string) {}

// TryRetry is always allowed.
func (unlimited) TryRetry(string) bool { return true }
