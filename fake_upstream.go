package pomelo

// Headers used only by the stand-in upstream and the load generator.
const (
	// FakeHeaderNonce is echoed in the stand-in's answer, to detect answers to other requests.
	FakeHeaderNonce = "X-Nonce"
	// FakeHeaderCallID carries the call's id, if the node forwards it.
	FakeHeaderCallID = "Pomelo-Call-Id"
)

// FakeJitter names the distribution of the random part of a service time.
type FakeJitter string

// Distributions of the random part of a service time, each with mean 1; empty means no random part.
const (
	FakeJitterExponential FakeJitter = "exponential"
	FakeJitterLognormal   FakeJitter = "lognormal"
)

// FakeHealthMode names a wrong behaviour of GET /health.
type FakeHealthMode string

// Wrong behaviours of GET /health; empty means correct.
const (
	FakeHealthAlwaysOK   FakeHealthMode = "always_ok"
	FakeHealthAlwaysFail FakeHealthMode = "always_fail"
	FakeHealthLags       FakeHealthMode = "lag"
)

// FakeUpstream configures a stand-in for an upstream; times are in milliseconds.
type FakeUpstream struct {
	Service string `json:"service"`
	VM      string `json:"vm"`
	// Address is the host and port that the stand-in listens on.
	Address string `json:"address"`
	// NodeURL is the URL of its node's loopback listener.
	NodeURL     string     `json:"node_url"`
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
	ServiceTime Millis     `json:"service_time_ms"`
	Jitter      FakeJitter `json:"jitter,omitempty"`
	// JitterShare is the random share of ServiceTime, 0 to 1; the mean stays ServiceTime.
	JitterShare float64 `json:"jitter_share,omitempty"`
	Seed        uint64  `json:"seed"`
	// ColdStart is the time after the start during which ColdFactor multiplies the service time.
	ColdStart  Millis  `json:"cold_start_ms,omitempty"`
	ColdFactor float64 `json:"cold_factor,omitempty"`
	// NetworkDelay is the one-way network delay, added before and after each request.
	NetworkDelay Millis         `json:"delay_ms,omitempty"`
	SubCalls     []FakeSubCall  `json:"sub_calls,omitempty"`
	Routes       []FakeRoute    `json:"routes,omitempty"`
	HealthMode   FakeHealthMode `json:"health_lie,omitempty"`
	// LoadReportLag is the minimum age of the values that GET /load reports, and GET /health with FakeHealthLags.
	LoadReportLag Millis `json:"lag_ms,omitempty"`
}

// FakeRoute overrides the service time, in milliseconds, and the sub-calls for a path prefix; the longest prefix wins.
type FakeRoute struct {
	Path        string        `json:"path"`
	ServiceTime Millis        `json:"service_time_ms"`
	SubCalls    []FakeSubCall `json:"sub_calls,omitempty"`
}

// FakeSubCall is a call that each request makes through its node, Count times in sequence.
type FakeSubCall struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Count   int    `json:"count"`
}

// FakeFault is the set of faults injected at a stand-in upstream; the zero value clears all faults.
type FakeFault struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor   float64 `json:"slow_factor,omitempty"`
	NeverRespond bool    `json:"never_answer,omitempty"`
	// TruncateResponse closes the connection in the middle of the body.
	TruncateResponse bool `json:"half_answer,omitempty"`
	// RawResponse is sent in place of each finished answer, and then the connection is closed.
	RawResponse string `json:"raw_answer,omitempty"`
	// ResponseDelay delays each finished answer, in milliseconds.
	ResponseDelay Millis `json:"late_ms,omitempty"`
	// WrongID answers with the ids of another request.
	WrongID bool `json:"wrong_id,omitempty"`
	// Refuse answers 503 without running the request.
	Refuse bool `json:"refuse,omitempty"`
	// Down closes every connection except requests for faults, events and counters.
	Down bool `json:"down,omitempty"`
}

// FakeAnswer is the body of a stand-in's complete answer; BodySHA256 is the hex hash of the request's body.
type FakeAnswer struct {
	Service    string       `json:"service"`
	VM         string       `json:"vm"`
	RootID     string       `json:"root_id"`
	Nonce      string       `json:"nonce"`
	BodySHA256 string       `json:"body_sha256"`
	Answers    []FakeAnswer `json:"answers,omitempty"`
}

// FakeSubCallFailure is the body of a stand-in's 502 after a failed sub-call; Status is 0 when no answer arrived.
type FakeSubCallFailure struct {
	Service string `json:"service"`
	Status  int    `json:"status"`
	Ran     Ran    `json:"ran"`
	Message string `json:"message"`
}

// FakeEventKind names what happened to an execution.
type FakeEventKind string

// Kinds of events in a stand-in's log.
const (
	FakeEventStart     FakeEventKind = "start"
	FakeEventEnd       FakeEventKind = "end"
	FakeEventCancelled FakeEventKind = "cancelled"
)

// FakeEvent is one entry of a stand-in's execution log; At is in milliseconds since the Unix epoch.
type FakeEvent struct {
	At             Millis        `json:"at_ms"`
	RootID         string        `json:"root_id"`
	CallID         string        `json:"call_id"`
	IdempotencyKey string        `json:"idempotency_key"`
	Path           string        `json:"path"`
	Kind           FakeEventKind `json:"kind"`
	// CallerKeySeen reports that a caller's key was forwarded to the upstream.
	CallerKeySeen bool `json:"key_seen"`
}

// FakeCounters count a stand-in's requests since its start; Running and Waiting are current values.
type FakeCounters struct {
	Started            int64 `json:"started"`
	Finished           int64 `json:"ended"`
	Cancelled          int64 `json:"cancelled"`
	CancelledWaiting   int64 `json:"cancelled_waiting"`
	Refused            int64 `json:"refused"`
	SubCalls           int64 `json:"sub_calls"`
	SubCallsFailed     int64 `json:"sub_calls_failed"`
	ConnectionsRefused int64 `json:"connections_refused"`
	CallerKeysSeen     int64 `json:"keys_seen"`
	EventsDropped      int64 `json:"events_dropped"`
	MaxRunning         int64 `json:"max_running"`
	Running            int64 `json:"running"`
	Waiting            int64 `json:"waiting"`
}

// FakeLoad is the response of GET /load, delayed by FakeUpstream.LoadReportLag.
type FakeLoad struct {
	Running int64 `json:"running"`
	Waiting int64 `json:"waiting"`
	Healthy bool  `json:"healthy"`
}
