package pomelo

// PolicySpec is one version of the operators' complete traffic policy.
type PolicySpec struct {
	Version int64
	// KeysRequired means that requests on routes that are not open need the key of a client account, also while there is no account.
	KeysRequired bool
	Routes       []TrafficRoute
	Accounts     []TrafficAccount
	Services     []TrafficService
	Limits       TrafficLimits
	// Gaps are the tables and limits that could not be read, and Unread names all parts of which that is true.
	Gaps   Gaps
	Unread []UnreadPart
	// UnreadKeyIDs are keys of accounts that could not be read: it is not known whether they still hold.
	UnreadKeyIDs []string
}

// TrafficRoute sends the requests for a host and path prefix to its targets.
type TrafficRoute struct {
	Name          string
	Host          string
	PathPrefix    string
	Targets       []RouteTarget
	NonIdempotent bool
	// Open routes accept requests without a key.
	Open bool
	// Timeout is the maximum duration of a request, in milliseconds.
	Timeout Millis
	// LatencyObjective is in milliseconds.
	LatencyObjective Millis
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Importance is 0 to MaxImportance; requests with a higher importance are shed later.
	Importance int
	// Regions are the only regions in which the route's calls may run; empty allows any.
	Regions []string
	// Gaps are the fields that could not be read; a route that can't be used without them is Unread, and its requests are refused.
	Gaps   Gaps
	Unread bool
}

// RouteTarget is one service of a route, with its weight among the route's targets.
type RouteTarget struct {
	Service string
	Weight  float64
}

// MaxImportance is the highest importance of a route, and of a client account.
const MaxImportance = 2

// CombineImportance ranks calls by the account's importance first and the route's second, 0 to 8.
func CombineImportance(account, route int) int {
	return (MaxImportance+1)*account + route
}

// TrafficAccount is a client account with the ids of its keys, and its importance on the scale of TrafficRoute.Importance.
type TrafficAccount struct {
	ClientAccount
	KeyIDs     []string
	Importance int
	// Regions are the only regions in which the account's calls may run; empty allows any.
	Regions []string
	// Gaps are the fields that could not be read.
	Gaps Gaps
}

// IsLimited reports whether the account has a rate; without one its requests are not limited.
func (a TrafficAccount) IsLimited() bool {
	return a.Rate > 0
}

// TrafficLimits bound a caller's connection, in bytes and milliseconds.
type TrafficLimits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTimeout Millis
	IdleTimeout Millis
}

// Policy is an immutable traffic policy prepared for lookups.
type Policy interface {
	Version() int64
	Limits() TrafficLimits
	// Match returns the route of the host with the longest matching path prefix.
	Match(host, path string) (TrafficRoute, bool)
	// AccountByKey returns the client account that owns the key.
	AccountByKey(keyID string) (TrafficAccount, bool)
	// IsKeyUnread reports whether the key is one of an account that could not be read.
	IsKeyUnread(keyID string) bool
	Account(name string) (TrafficAccount, bool)
	// Accounts returns the client accounts ordered by name.
	Accounts() []TrafficAccount
	Service(name string) (TrafficService, bool)
	// KeysRequired reports whether requests on routes that are not open need a key.
	KeysRequired() bool
}

// PolicySource provides this node's copy of the fleet's policy.
type PolicySource interface {
	// Policy returns false until a policy has been read.
	Policy() (Policy, bool)
	// Age returns the milliseconds since the start of the last read that confirmed the copy; time while the process is suspended counts.
	Age() Millis
}
