package pomelo

const (
	overloadMinRetryAfter = Millis(500)
	overloadRetryJitter   = Millis(1_000)
)

// NewOverload returns the refusal of a call that did not run; spread, a random number from 0 to 1, keeps callers from coming back together.
func NewOverload(message string, spread float64) *Fault {
	f := NewFault(KindOverload, message, "come back after the given time, or allow more time")
	f.RetryAfter = overloadMinRetryAfter + Millis(spread*float64(overloadRetryJitter))
	return f
}
