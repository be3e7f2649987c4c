package pomelo

// LoadSecond is one second of the time line; a request counts in the second of its arrival.
type LoadSecond struct {
	Second        int     `json:"second"`
	Offered       int64   `json:"offered"`
	Complete      int64   `json:"whole"`
	Refused       int64   `json:"refused"`
	Failed        int64   `json:"failed"`
	Late          int64   `json:"late"`
	WorthOffered  float64 `json:"worth_offered"`
	WorthComplete float64 `json:"worth_whole"`
}

// LoadLatency holds percentiles in milliseconds.
type LoadLatency struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// LoadSummary counts requests by the outcome of their last attempt: Offered is the sum of Complete, Refused, Failed, Mismatched and Unsent.
type LoadSummary struct {
	Name     string         `json:"name"`
	Account  string         `json:"account,omitempty"`
	Offered  int64          `json:"offered"`
	Complete int64          `json:"whole"`
	Refused  map[Kind]int64 `json:"refused"`
	Failed   map[Kind]int64 `json:"failed"`
	// Late counts the complete answers that took longer, with retries, than the timeout of one attempt.
	Late int64 `json:"late"`
	// Mismatched counts answers to another request; it must be 0.
	Mismatched int64 `json:"wrong"`
	// Unsent counts requests dropped at the generator's own in-flight limit.
	Unsent             int64   `json:"unsent"`
	Attempts           int64   `json:"attempts"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	WorthOffered       float64 `json:"worth_offered"`
	WorthComplete      float64 `json:"worth_whole"`
	// CompletePerSecond is the number of complete answers per second of the plan.
	CompletePerSecond float64 `json:"goodput_per_s"`
	// Goodput is the worth of complete answers per second of the plan.
	Goodput float64 `json:"goodput_worth_per_s"`
	// Latency is the latency of complete answers, from the first attempt.
	Latency LoadLatency `json:"latency"`
	// RefusalLatency is the latency of refused attempts.
	RefusalLatency LoadLatency  `json:"refusal"`
	Seconds        []LoadSecond `json:"seconds"`
}

// LoadAccount is the result of one client account.
type LoadAccount struct {
	Name     string `json:"name"`
	Offered  int64  `json:"offered"`
	Complete int64  `json:"whole"`
	// WithinRate counts the requests within the account's rate and burst; 0 when they are unknown.
	WithinRate              int64   `json:"inside_rate"`
	WithinRateComplete      int64   `json:"inside_rate_whole"`
	CompleteShare           float64 `json:"share"`
	WithinRateCompleteShare float64 `json:"inside_rate_share"`
	// WithinRateShed counts requests within the rate that were refused for overload, WithinRateLimited those refused as over the rate.
	WithinRateShed    int64 `json:"inside_rate_refused"`
	WithinRateLimited int64 `json:"inside_rate_refused_by_rate"`
}

// LoadImportance is the result of the requests of one importance over all streams.
type LoadImportance struct {
	Importance    int     `json:"importance"`
	Offered       int64   `json:"offered"`
	Complete      int64   `json:"whole"`
	Refused       int64   `json:"refused"`
	Failed        int64   `json:"failed"`
	CompleteShare float64 `json:"share"`
}

// LoadRecovery is the effect of one trigger or surge on goodput; rates are per second.
type LoadRecovery struct {
	Name          string  `json:"name"`
	From          Millis  `json:"from_ms"`
	To            Millis  `json:"to_ms"`
	GoodputBefore float64 `json:"goodput_before_per_s"`
	GoodputDuring float64 `json:"goodput_during_per_s"`
	WorthBefore   float64 `json:"worth_before_per_s"`
	WorthDuring   float64 `json:"worth_during_per_s"`
	CapacityShare float64 `json:"capacity_share,omitempty"`
	// Recovery is the time to recover in milliseconds, or -1 if the run ended first.
	Recovery Millis `json:"recovery_ms"`
}

// LoadServiceWork counts the executions at one service's stand-ins; Wasted ones belong to requests without a complete answer.
type LoadServiceWork struct {
	Service    string `json:"service"`
	Executions int64  `json:"executions"`
	Wasted     int64  `json:"wasted"`
	Cancelled  int64  `json:"cancelled"`
}

// LoadWork sums up the executions at the stand-ins of a fleet during a run.
type LoadWork struct {
	Executions  int64   `json:"executions"`
	Wasted      int64   `json:"wasted"`
	WastedShare float64 `json:"wasted_share"`
	// Repeated counts repeated executions of the same call, Duplicates those on non-idempotent routes, by call or by idempotency key.
	Repeated   int64 `json:"repeated"`
	Duplicates int64 `json:"duplicates"`
	// LargestTree is the largest number of executions caused by one attempt.
	LargestTree    int64             `json:"largest_tree"`
	CallerKeysSeen int64             `json:"keys_seen"`
	EventsDropped  int64             `json:"events_dropped"`
	Services       []LoadServiceWork `json:"services"`
	// CPU is the processor time of the whole process in milliseconds, CPUPerCall its average per execution in microseconds.
	CPU        Millis  `json:"cpu_ms"`
	CPUPerCall float64 `json:"cpu_per_call_us"`
}

// LoadReport is the result of a plan.
type LoadReport struct {
	Name         string           `json:"name,omitempty"`
	Control      string           `json:"control,omitempty"`
	Disabled     []string         `json:"off,omitempty"`
	Seed         uint64           `json:"seed"`
	Duration     Millis           `json:"duration_ms"`
	Streams      []LoadSummary    `json:"streams"`
	Total        LoadSummary      `json:"total"`
	Accounts     []LoadAccount    `json:"accounts"`
	Importances  []LoadImportance `json:"levels"`
	WorstAccount string           `json:"worst_account"`
	// WorstShare is the lowest share of complete answers, 0 to 1, that any account got for its requests within its rate.
	WorstShare float64 `json:"worst_account_share"`
	// CapacityShare is the share of the bottleneck's capacity spent on complete answers; 0 when the plan states no capacity.
	CapacityShare float64        `json:"capacity_share,omitempty"`
	Recoveries    []LoadRecovery `json:"recoveries,omitempty"`
	// GeneratorLag is the delay with which the generator itself sent requests.
	GeneratorLag   LoadLatency `json:"generator_lag"`
	Work           LoadWork    `json:"work"`
	TriggersFailed int64       `json:"triggers_failed"`
}
