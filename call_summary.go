package pomelo

// CallSummary is the state of a call record when its call ended: the upstream's self time in milliseconds, the retries left, and the calls of the subtree.
type CallSummary struct {
	SelfTime     Millis
	RetriesLeft  int
	SubtreeCalls []SubtreeCalls
}
