package main

import "time"

// Times of the cases with an upstream that leaves, or a key that is taken away.
const (
	// drainBound is drain_ms of the settings.
	drainBound = 2 * time.Second
	// stayTime is the time for which callers send to an upstream that has left.
	stayTime = 8 * time.Second
	// settleTime exceeds stable_ms of the settings: nothing disturbs the machines for so long before a disruption.
	settleTime = 8 * time.Second
)
