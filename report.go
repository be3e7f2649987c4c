package pomelo

// MessageReport asks a node for its report to operators.
const MessageReport MessageKind = 40

// Outcomes of calls that are not a refusal's Kind.
const (
	// OutcomeComplete is a whole answer within the service's latency.
	OutcomeComplete = "whole"
	// OutcomeSlow is a whole answer later than the service's latency.
	OutcomeSlow = "slow"
	// OutcomeUpstreamError is a whole answer whose status says that the upstream failed (5xx).
	OutcomeUpstreamError = "upstream_error"
	// OtherAccounts stands for the client accounts that a bounded count has no room for.
	OtherAccounts = "(other)"
)

// ReportRequest asks for counts over windows in milliseconds; without any, only the position is asked for.
type ReportRequest struct {
	Windows []Millis `cbor:"1,keyasint,omitempty"`
}

// Report is what one node tells about itself.
type Report struct {
	VM       string         `cbor:"1,keyasint"`
	Position Position       `cbor:"2,keyasint"`
	Counts   []OutcomeCount `cbor:"3,keyasint,omitempty"`
	Health   Health         `cbor:"4,keyasint"`
}

// FleetReport is what the nodes of a fleet reported: Reports without their counts, which are added up in Counts, and the VMs that gave no answer.
type FleetReport struct {
	Reports      []Report
	Counts       []OutcomeCount
	Unresponsive []string
}

// OutcomeCount is how often a service's calls for a client account had an outcome, over each window asked for.
type OutcomeCount struct {
	Service   string  `cbor:"1,keyasint" json:"service"`
	Account   string  `cbor:"2,keyasint" json:"account"`
	Outcome   string  `cbor:"3,keyasint" json:"outcome"`
	PerWindow []int64 `cbor:"4,keyasint" json:"n"`
}

// Health tells how the upstream beside a node fares; Since is in milliseconds since the Unix epoch, 0 while nothing is wrong.
type Health struct {
	Service        string        `cbor:"1,keyasint,omitempty"`
	UnhealthySince Millis        `cbor:"2,keyasint,omitempty"`
	Issues         []HealthIssue `cbor:"3,keyasint,omitempty"`
	// SelfTime and Usual are mean own times in milliseconds, of the last seconds and as they usually are.
	SelfTime         float64 `cbor:"4,keyasint"`
	BaselineSelfTime float64 `cbor:"5,keyasint"`
	Waiting          int     `cbor:"6,keyasint"`
	Running          int     `cbor:"7,keyasint"`
}

// HealthIssue is one thing that is wrong with an upstream, and its measure.
type HealthIssue struct {
	Kind   HealthIssueKind `cbor:"1,keyasint"`
	Detail string          `cbor:"2,keyasint"`
}

// HealthIssueKind names what is wrong with an upstream.
type HealthIssueKind string

// What may be wrong with an upstream.
const (
	HealthIssueSelfTime  HealthIssueKind = "own_time"
	HealthIssueQueue     HealthIssueKind = "queue"
	HealthIssueRefusals  HealthIssueKind = "refusals"
	HealthIssueFailures  HealthIssueKind = "broken"
	HealthIssueWithdrawn HealthIssueKind = "gone"
)

// OutcomeRecorder counts how calls ended; it is called on the path of every call.
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
