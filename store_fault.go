package pomelo

// StoreFault tells a stand-in for the store how to misbehave; Slow is in milliseconds a call, LoseAnswers in writes.
type StoreFault struct {
	Down          bool   `json:"down"`
	Delay         Millis `json:"slow_ms"`
	DropResponses int    `json:"lose_answers"`
	DropWatches   bool   `json:"cut_watches"`
}
