package pomelo

// LoadRetryKind names the retry policy of a client.
type LoadRetryKind string

// Retry policies: never, only as Retry-After and Pomelo-Ran allow, or immediately after any failure.
const (
	LoadRetryNone      LoadRetryKind = "none"
	LoadRetryCompliant LoadRetryKind = "polite"
	LoadRetryImmediate LoadRetryKind = "hard"
)

// LoadRetry is the retry policy of a stream's clients, with at most Limit retries per request.
type LoadRetry struct {
	Kind  LoadRetryKind `json:"kind"`
	Limit int           `json:"limit"`
}

// LoadSurge multiplies a stream's rate between two times, in milliseconds from the start.
type LoadSurge struct {
	From   Millis  `json:"from_ms"`
	To     Millis  `json:"to_ms"`
	Factor float64 `json:"factor"`
}

// LoadStream is one kind of request of one account; Rate is in requests per second, Timeout per attempt in milliseconds.
type LoadStream struct {
	Name        string      `json:"name"`
	Account     string      `json:"account"`
	Key         string      `json:"key"`
	Method      string      `json:"method"`
	Path        string      `json:"path"`
	Rate        float64     `json:"rate"`
	Worth       float64     `json:"worth"`
	Importance  int         `json:"importance"`
	Timeout     Millis      `json:"timeout_ms"`
	BodyBytes   int         `json:"body_bytes"`
	Idempotency bool        `json:"idempotency"`
	Retry       LoadRetry   `json:"retry"`
	Surges      []LoadSurge `json:"surges,omitempty"`
	// BottleneckCalls is the number of calls to the plan's bottleneck for each complete answer.
	BottleneckCalls float64 `json:"cost,omitempty"`
}

// LoadTrigger injects a fault at stand-in upstreams at a time, in milliseconds from the start, and clears it at Until (0: never).
type LoadTrigger struct {
	At    Millis `json:"at_ms"`
	Until Millis `json:"until_ms"`
	// URLs select the stand-ins; in a fleet, Service and VM (empty: every VM of the service) select them.
	URLs    []string  `json:"urls,omitempty"`
	Service string    `json:"service,omitempty"`
	VM      string    `json:"vm,omitempty"`
	Fault   FakeFault `json:"fault"`
	// Capacity is the bottleneck's capacity during the fault, in calls per second; 0 means unchanged.
	Capacity float64 `json:"capacity_per_s,omitempty"`
}

// LoadPlan is a run of open-loop load; the same seed gives the same arrivals and targets.
type LoadPlan struct {
	Name     string `json:"name,omitempty"`
	Seed     uint64 `json:"seed"`
	Duration Millis `json:"duration_ms"`
	// Capacity is the bottleneck's capacity, in calls per second; 0 means unknown.
	Capacity float64 `json:"capacity_per_s,omitempty"`
	// ClientDelay is the one-way network delay, in milliseconds, added before and after each attempt.
	ClientDelay Millis `json:"client_delay_ms,omitempty"`
	// Accounts state the rates by which refusals are classified; in a fleet they are the fleet's.
	Accounts []ClientAccount `json:"accounts,omitempty"`
	// Targets are base URLs of nodes' caller listeners, chosen from at random.
	Targets  []string      `json:"targets,omitempty"`
	Streams  []LoadStream  `json:"streams"`
	Triggers []LoadTrigger `json:"triggers,omitempty"`
}
