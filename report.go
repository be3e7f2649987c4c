package pomelo

// MessageReport requests a node's report for operators.
const MessageReport MessageKind = 40

// Outcomes of calls other than a refusal's Kind.
const (
	// OutcomeComplete is a complete answer within the service's latency objective.
	OutcomeComplete = "whole"
	// OutcomeSlow is a complete answer that exceeded the service's latency objective.
	OutcomeSlow = "slow"
	// OutcomeUpstreamError is a complete answer with a 5xx status.
	OutcomeUpstreamError = "upstream_error"
	// OtherAccounts aggregates the client accounts beyond the limit of a bounded count.
	OtherAccounts = "(other)"
)

// ReportRequest asks for counts over windows in milliseconds, or without any window only for the position.
type ReportRequest struct {
	Windows []Millis `cbor:"1,keyasint,omitempty"`
}

// Report is one node's report about itself.
type Report struct {
	VM       string         `cbor:"1,keyasint"`
	Position Position       `cbor:"2,keyasint"`
	Counts   []OutcomeCount `cbor:"3,keyasint,omitempty"`
	Health   Health         `cbor:"4,keyasint"`
}

// FleetReport aggregates the reports of a fleet's nodes: Counts are summed over all nodes and removed from Reports, and Unresponsive lists the VMs that gave no answer.
type FleetReport struct {
	Reports      []Report
	Counts       []OutcomeCount
	Unresponsive []string
}

// OutcomeCount counts one outcome of a service's calls for a client account.
type OutcomeCount struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Account string `cbor:"2,keyasint" json:"account"`
	Outcome string `cbor:"3,keyasint" json:"outcome"`
	// PerWindow holds one count for each requested window.
	PerWindow []int64 `cbor:"4,keyasint" json:"n"`
}

// Health is the state of the upstream beside a node.
type Health struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// UnhealthySince is in milliseconds since the Unix epoch; 0 while there are no issues.
	UnhealthySince Millis        `cbor:"2,keyasint,omitempty"`
	Issues         []HealthIssue `cbor:"3,keyasint,omitempty"`
	// SelfTime is the mean self time of the last seconds, and BaselineSelfTime its usual value, in milliseconds.
	SelfTime         float64 `cbor:"4,keyasint"`
	BaselineSelfTime float64 `cbor:"5,keyasint"`
	Waiting          int     `cbor:"6,keyasint"`
	Running          int     `cbor:"7,keyasint"`
}

// HealthIssue is one problem of an upstream, with the measured values.
type HealthIssue struct {
	Kind   HealthIssueKind `cbor:"1,keyasint"`
	Detail string          `cbor:"2,keyasint"`
}

// HealthIssueKind names a problem of an upstream.
type HealthIssueKind string

// Kinds of health issues.
const (
	HealthIssueSelfTime  HealthIssueKind = "own_time"
	HealthIssueQueue     HealthIssueKind = "queue"
	HealthIssueRefusals  HealthIssueKind = "refusals"
	HealthIssueFailures  HealthIssueKind = "broken"
	HealthIssueWithdrawn HealthIssueKind = "gone"
)

// OutcomeRecorder counts the outcomes of calls; Record is on the hot path of every call.
type OutcomeRecorder interface {
	Record(service, account, outcome string)
}

// Catalog lists the operators' configuration as this node knows it, each list ordered by name.
type Catalog interface {
	Accounts() []ClientAccount
	Keys() []Key
	Routes() []Route
	Objectives() []Objective
	Stops() []Stop
}
