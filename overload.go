package pomelo

// Delay before a retry of a call refused for overload, in milliseconds: a minimum plus a random part of up to the jitter.
const (
	overloadMinRetryAfter = Millis(500)
	overloadRetryJitter   = Millis(1_000)
)

// NewOverload returns the refusal of a call that did not run; jitter, a random number from 0 to 1, spreads the retries of callers.
func NewOverload(message string, jitter float64) *Fault {
	f := NewFault(KindOverload, message, "come back after the given time, or allow more time")
	f.RetryAfter = overloadMinRetryAfter + Millis(jitter*float64(overloadRetryJitter))
	return f
}
