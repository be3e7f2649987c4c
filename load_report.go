package pomelo

// LoadSecond is one second of the time line, by the second in which the requests arrived.
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

// LoadSummary counts requests by their last attempt's outcome: Offered is the sum of Whole, Refused, Failed, Wrong and Unsent.
type LoadSummary struct {
	Name     string         `json:"name"`
	Account  string         `json:"account,omitempty"`
	Offered  int64          `json:"offered"`
	Complete int64          `json:"whole"`
	Refused  map[Kind]int64 `json:"refused"`
	Failed   map[Kind]int64 `json:"failed"`
	// Late counts the whole answers that took longer than one attempt's timeout, with retries.
	Late int64 `json:"late"`
	// Mismatched counts answers to another request; it must be 0.
	Mismatched int64 `json:"wrong"`
	// Unsent counts requests over the generator's own in-flight limit.
	Unsent             int64   `json:"unsent"`
	Attempts           int64   `json:"attempts"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	WorthOffered       float64 `json:"worth_offered"`
	WorthComplete      float64 `json:"worth_whole"`
	// CompletePerSecond is the count of whole answers for each second of the plan.
	CompletePerSecond float64 `json:"goodput_per_s"`
	// Goodput is the worth of whole answers for each second of the plan.
	Goodput float64 `json:"goodput_worth_per_s"`
	// Latency is of whole answers, from the first attempt on.
	Latency LoadLatency `json:"latency"`
	// RefusalLatency is of refused attempts.
	RefusalLatency LoadLatency  `json:"refusal"`
	Seconds        []LoadSecond `json:"seconds"`
}

// LoadAccount is how one client account fared; Inside counts its requests that its own rate and burst allowed, 0 where they are not known.
type LoadAccount struct {
	Name                    string  `json:"name"`
	Offered                 int64   `json:"offered"`
	Complete                int64   `json:"whole"`
	WithinRate              int64   `json:"inside_rate"`
	WithinRateComplete      int64   `json:"inside_rate_whole"`
	CompleteShare           float64 `json:"share"`
	WithinRateCompleteShare float64 `json:"inside_rate_share"`
	// WithinRateShed counts requests refused for overload, InsideRateRefused those refused as over the rate, though inside it.
	WithinRateShed    int64 `json:"inside_rate_refused"`
	WithinRateLimited int64 `json:"inside_rate_refused_by_rate"`
}

// LoadImportance is how the requests of one importance fared over all streams.
type LoadImportance struct {
	Importance    int     `json:"importance"`
	Offered       int64   `json:"offered"`
	Complete      int64   `json:"whole"`
	Refused       int64   `json:"refused"`
	Failed        int64   `json:"failed"`
	CompleteShare float64 `json:"share"`
}

// LoadRecovery tells how one trigger or surge passed; rates are by the second, and Recovery in milliseconds is -1 if the run ended first.
type LoadRecovery struct {
	Name          string  `json:"name"`
	From          Millis  `json:"from_ms"`
	To            Millis  `json:"to_ms"`
	GoodputBefore float64 `json:"goodput_before_per_s"`
	GoodputDuring float64 `json:"goodput_during_per_s"`
	WorthBefore   float64 `json:"worth_before_per_s"`
	WorthDuring   float64 `json:"worth_during_per_s"`
	CapacityShare float64 `json:"capacity_share,omitempty"`
	Recovery      Millis  `json:"recovery_ms"`
}

// LoadServiceWork counts the executions at one service's stand-ins; Wasted are those for requests that had no whole answer.
type LoadServiceWork struct {
	Service    string `json:"service"`
	Executions int64  `json:"executions"`
	Wasted     int64  `json:"wasted"`
	Cancelled  int64  `json:"cancelled"`
}

// LoadWork is what the stand-ins of a fleet saw of a run.
type LoadWork struct {
	Executions  int64   `json:"executions"`
	Wasted      int64   `json:"wasted"`
	WastedShare float64 `json:"wasted_share"`
	// Repeated counts executions of a call that had been executed before, Duplicates those on non-idempotent routes, by call or by idempotency key.
	Repeated   int64 `json:"repeated"`
	Duplicates int64 `json:"duplicates"`
	// LargestTree is the most executions that one attempt of a request caused.
	LargestTree    int64             `json:"largest_tree"`
	CallerKeysSeen int64             `json:"keys_seen"`
	EventsDropped  int64             `json:"events_dropped"`
	Services       []LoadServiceWork `json:"services"`
	// CPU is the processor time of the whole process in milliseconds, CPUPerCall its share of one execution in microseconds.
	CPU        Millis  `json:"cpu_ms"`
	CPUPerCall float64 `json:"cpu_per_call_us"`
}

// LoadReport is the outcome of a plan; WorstShare is the least share of whole answers, 0 to 1, that any account got of its requests inside its rate.
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
	WorstShare   float64          `json:"worst_account_share"`
	// CapacityShare is the share of the bottleneck's capacity that whole answers took, 0 where the plan states none.
	CapacityShare float64        `json:"capacity_share,omitempty"`
	Recoveries    []LoadRecovery `json:"recoveries,omitempty"`
	// GeneratorLag is how late the generator itself sent requests.
	GeneratorLag   LoadLatency `json:"generator_lag"`
	Work           LoadWork    `json:"work"`
	TriggersFailed int64       `json:"triggers_failed"`
}
