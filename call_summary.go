package pomelo

// CallSummary is what a call record held when its call ended: the upstream's own time in milliseconds, unspent retries, and the subtree's visits.
type CallSummary struct {
	SelfTime     Millis
	RetriesLeft  int
	SubtreeCalls []SubtreeCalls
}
