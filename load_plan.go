package pomelo

// LoadRetryKind names how a client retries.
type LoadRetryKind string

// The ways of retrying: not at all, only as Retry-After and Pomelo-Ran allow, or at once after any failure.
const (
	LoadRetryNone      LoadRetryKind = "none"
	LoadRetryCompliant LoadRetryKind = "polite"
	LoadRetryImmediate LoadRetryKind = "hard"
)

// LoadRetry is how a stream's clients retry, with Limit extra attempts a request at most.
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

// LoadStream is one kind of request of one account; Rate is in requests a second and Timeout, of each attempt, in milliseconds.
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
	// BottleneckCalls is how many calls on the plan's bottleneck a whole answer takes.
	BottleneckCalls float64 `json:"cost,omitempty"`
}

// LoadTrigger sets a fault at stand-in upstreams at a time, in milliseconds from the start, and lifts it at Until (0: never).
type LoadTrigger struct {
	At    Millis `json:"at_ms"`
	Until Millis `json:"until_ms"`
	// URLs name the stand-ins; in a fleet, Service and VM (empty: all of the service) do.
	URLs    []string  `json:"urls,omitempty"`
	Service string    `json:"service,omitempty"`
	VM      string    `json:"vm,omitempty"`
	Fault   FakeFault `json:"fault"`
	// Capacity is what the plan's bottleneck can do while the fault is in force, in calls a second; 0 means unchanged.
	Capacity float64 `json:"capacity_per_s,omitempty"`
}

// LoadPlan is a run of open-loop load; the same seed gives the same arrivals and targets.
type LoadPlan struct {
	Name     string `json:"name,omitempty"`
	Seed     uint64 `json:"seed"`
	Duration Millis `json:"duration_ms"`
	// Capacity is what the bottleneck can do, in calls a second; 0 means unknown.
	Capacity float64 `json:"capacity_per_s,omitempty"`
	// ClientDelay is added before and after each attempt, in milliseconds.
	ClientDelay Millis `json:"client_delay_ms,omitempty"`
	// Accounts give the rates by which a refusal is judged; in a fleet they are the fleet's.
	Accounts []ClientAccount `json:"accounts,omitempty"`
	// Targets are base URLs of nodes' caller listeners, chosen from at random.
	Targets  []string      `json:"targets,omitempty"`
	Streams  []LoadStream  `json:"streams"`
	Triggers []LoadTrigger `json:"triggers,omitempty"`
}
