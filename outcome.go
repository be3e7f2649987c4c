package pomelo

// IsComplete reports whether the outcome is a complete answer, in time or not.
func IsComplete(outcome string) bool {
	return outcome == OutcomeComplete || outcome == OutcomeSlow || outcome == OutcomeUpstreamError
}

// IsExempt reports whether the caller caused the outcome, so that it counts neither for nor against a service's objective.
func IsExempt(outcome string) bool {
	switch Kind(outcome) {
	case KindNoKey, KindKeyUnknown, KindKeyWithdrawn, KindNoRoute, KindBadRequest, KindTooLarge, KindBadCallToken,
		KindRateExceeded, KindCanceled, KindIdempotencyKeyReused, KindInProgress:
		return true
	}
	return false
}
