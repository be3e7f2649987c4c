package pomelo

// PolicySpec is the operators' traffic policy in full, at one version.
type PolicySpec struct {
	Version  int64
	Routes   []TrafficRoute
	Accounts []TrafficAccount
	Limits   TrafficLimits
}

// TrafficRoute sends the requests of a host whose path begins with Prefix to its targets.
type TrafficRoute struct {
	Name          string
	Host          string
	PathPrefix    string
	Targets       []RouteTarget
	NonIdempotent bool
	// Open routes take requests without a key.
	Open bool
	// Timeout is the longest that a request is kept waiting, in milliseconds.
	Timeout Millis
	// LatencyObjective is the latency objective, in milliseconds.
	LatencyObjective Millis
	// MaxAttempts is the most upstreams that one request may be sent to.
	MaxAttempts int
	// Importance is 0 to MostImportant, and higher for requests that are shed later.
	Importance int
}

// RouteTarget is one service of a route and its share among the route's targets.
type RouteTarget struct {
	Service string
	Weight  int
}

// MaxImportance is the highest importance of a route, and of a client account.
const MaxImportance = 2

// CombineImportance combines both, 0 to 8: the account's goes before the route's.
func CombineImportance(account, route int) int {
	return (MaxImportance+1)*account + route
}

// TrafficAccount is a client account with the ids of its keys, its importance as a route has it, and its rate and burst over the fleet.
type TrafficAccount struct {
	ClientAccount
	KeyIDs     []string
	Importance int
}

// TrafficLimits bound what a caller's connection may send, in bytes and milliseconds.
type TrafficLimits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTimeout Millis
	IdleTimeout Millis
}

// Policy is a policy ready for lookups; it does not change.
type Policy interface {
	Version() int64
	Limits() TrafficLimits
	// Match finds the route of the host with the longest prefix of the path.
	Match(host, path string) (TrafficRoute, bool)
	// AccountByKey is the client account that holds the key.
	AccountByKey(keyID string) (TrafficAccount, bool)
	Account(name string) (TrafficAccount, bool)
	// HasAccounts reports whether requests need a key at all.
	HasAccounts() bool
}

// PolicySource is what this node knows of the fleet; ages are in milliseconds since the start of the last read that proved it.
type PolicySource interface {
	// Policy is false until one has been read.
	Policy() (Policy, bool)
	// Age is how old the newest proven knowledge is; it goes on while the process is suspended.
	Age() Millis
}
