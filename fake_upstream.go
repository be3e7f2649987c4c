package pomelo

// Headers that only the stand-in upstream and the load generator use.
const (
	// FakeHeaderNonce is echoed in the stand-in's answer, so that a mixed-up answer shows.
	FakeHeaderNonce = "X-Nonce"
	// FakeHeaderCallID is the call's id, where the node passes it.
	FakeHeaderCallID = "Pomelo-Call-Id"
)

// FakeJitter names the distribution of the random part of a service time.
type FakeJitter string

// The distributions of a service time's random part, each with mean 1; empty means no random part.
const (
	FakeJitterExponential FakeJitter = "exponential"
	FakeJitterLognormal   FakeJitter = "lognormal"
)

// FakeHealthMode names the way in which GET /health misleads.
type FakeHealthMode string

// The ways in which GET /health misleads; empty means that it tells the truth.
const (
	FakeHealthAlwaysOK   FakeHealthMode = "always_ok"
	FakeHealthAlwaysFail FakeHealthMode = "always_fail"
	FakeHealthLags       FakeHealthMode = "lag"
)

// FakeUpstream describes a stand-in upstream; Address is its host:port, NodeURL its node's loopback listener, and times are in milliseconds.
type FakeUpstream struct {
	Service     string     `json:"service"`
	VM          string     `json:"vm"`
	Address     string     `json:"address"`
	NodeURL     string     `json:"node_url"`
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
	ServiceTime Millis     `json:"service_time_ms"`
	Jitter      FakeJitter `json:"jitter,omitempty"`
	// JitterShare is the random share of ServiceTime, 0 to 1; the mean stays ServiceTime.
	JitterShare float64 `json:"jitter_share,omitempty"`
	Seed        uint64  `json:"seed"`
	// ColdStart is how long after its start the upstream is slower by ColdFactor.
	ColdStart  Millis  `json:"cold_start_ms,omitempty"`
	ColdFactor float64 `json:"cold_factor,omitempty"`
	// NetworkDelay is the one-way network delay, added before and after each request.
	NetworkDelay Millis         `json:"delay_ms,omitempty"`
	SubCalls     []FakeSubCall  `json:"sub_calls,omitempty"`
	Routes       []FakeRoute    `json:"routes,omitempty"`
	HealthMode   FakeHealthMode `json:"health_lie,omitempty"`
	// LoadReportLag is how far GET /load, and GET /health when it lags, are behind the truth at least.
	LoadReportLag Millis `json:"lag_ms,omitempty"`
}

// FakeRoute overrides the service time, in milliseconds, and the sub-calls for paths with this prefix; the longest prefix wins.
type FakeRoute struct {
	Path        string        `json:"path"`
	ServiceTime Millis        `json:"service_time_ms"`
	SubCalls    []FakeSubCall `json:"sub_calls,omitempty"`
}

// FakeSubCall is a call that each request makes through its node, Count times one after the other.
type FakeSubCall struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Count   int    `json:"count"`
}

// FakeFault is the set of faults in force at a stand-in upstream; the zero value lifts them all.
type FakeFault struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor   float64 `json:"slow_factor,omitempty"`
	NeverRespond bool    `json:"never_answer,omitempty"`
	// TruncateResponse breaks the connection off in the middle of the body.
	TruncateResponse bool `json:"half_answer,omitempty"`
	// ResponseDelay delays each finished answer, in milliseconds.
	ResponseDelay Millis `json:"late_ms,omitempty"`
	// WrongID answers with another request's ids.
	WrongID bool `json:"wrong_id,omitempty"`
	// Refuse answers 503 without running the request.
	Refuse bool `json:"refuse,omitempty"`
	// Down breaks off every connection but those that ask for faults, events and counters.
	Down bool `json:"down,omitempty"`
}

// FakeAnswer is the body of a stand-in's whole answer; BodySHA256 is the hex hash of the request's body.
type FakeAnswer struct {
	Service    string       `json:"service"`
	VM         string       `json:"vm"`
	RootID     string       `json:"root_id"`
	Nonce      string       `json:"nonce"`
	BodySHA256 string       `json:"body_sha256"`
	Answers    []FakeAnswer `json:"answers,omitempty"`
}

// FakeSubCallFailure is the body of a stand-in's 502 after a failed sub-call; Status is 0 when no answer came.
type FakeSubCallFailure struct {
	Service string `json:"service"`
	Status  int    `json:"status"`
	Ran     Ran    `json:"ran"`
	Message string `json:"message"`
}

// FakeEventKind tells what happened to an execution.
type FakeEventKind string

// The kinds of event in a stand-in's log.
const (
	FakeEventStart     FakeEventKind = "start"
	FakeEventEnd       FakeEventKind = "end"
	FakeEventCancelled FakeEventKind = "cancelled"
)

// FakeEvent is one entry of a stand-in's log of executions; At is in milliseconds since the Unix epoch.
type FakeEvent struct {
	At             Millis        `json:"at_ms"`
	RootID         string        `json:"root_id"`
	CallID         string        `json:"call_id"`
	IdempotencyKey string        `json:"idempotency_key"`
	Path           string        `json:"path"`
	Kind           FakeEventKind `json:"kind"`
	// CallerKeySeen tells that a caller's key reached the upstream.
	CallerKeySeen bool `json:"key_seen"`
}

// FakeCounters count a stand-in's requests since its start, but for Running and Waiting, which are of now.
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

// FakeLoad is what GET /load tells, late.
type FakeLoad struct {
	Running int64 `json:"running"`
	Waiting int64 `json:"waiting"`
	Healthy bool  `json:"healthy"`
}
