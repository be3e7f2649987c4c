package send

// unlimited is the pomelo.RetryLimiter that allows every retry.
type unlimited struct{}

// Call counts nothing.
func (unlimited) Call(string) {}

// Retry is always allowed.
func (unlimited) Retry(string) bool { return true }
