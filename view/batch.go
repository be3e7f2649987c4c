package view

import "github.com/pomeloworks/pomelo"

// Delays after a watch response with changes, in milliseconds: while the changes of a whole fleet arrive, one response holds more of them.
const (
	minBatchDelay = pomelo.Millis(200)
	// maxBatchDelay is short against the time in which a policy must be in force everywhere.
	maxBatchDelay = pomelo.Millis(600)
	// batchQuiet is the time without changes after which a change counts as a single one again.
	batchQuiet = pomelo.Millis(1_000)
)

// batch delays the next watch after changes, by half as much again each time as long as they go on.
type batch struct {
	delay      pomelo.Millis
	lastChange pomelo.Millis
}

// next returns the delay after changes that arrived at now.
func (b *batch) next(now pomelo.Millis) pomelo.Millis {
	quiet := now-b.lastChange > b.delay+batchQuiet
	b.lastChange = now
	if quiet || b.delay == 0 {
		b.delay = minBatchDelay
		return b.delay
	}
	b.delay = min(b.delay+b.delay/2, maxBatchDelay)
	return b.delay
}
