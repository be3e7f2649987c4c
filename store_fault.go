package pomelo

// StoreFault is the set of faults injected at a stand-in for the store.
type StoreFault struct {
	Down bool `json:"down"`
	// Delay is added to each call, in milliseconds.
	Delay Millis `json:"slow_ms"`
	// DropResponses is the number of writes that take effect but get no answer.
	DropResponses int `json:"lose_answers"`
	// DropWatches closes the connections of the watches that are waiting when the fault is set.
	DropWatches bool `json:"cut_watches"`
}
