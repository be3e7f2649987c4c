package pomelo

// Headers of the protocol with callers and upstreams; on incoming messages, those not documented as read are stripped.
const (
	// HeaderKey carries a caller's key; "Authorization: Bearer" is accepted as well.
	HeaderKey = "Pomelo-Key"
	// HeaderTimeout carries a caller's timeout in milliseconds.
	HeaderTimeout = "Pomelo-Timeout-Ms"
	// HeaderRan states on a refusal whether the request ran.
	HeaderRan = "Pomelo-Ran"
	// HeaderToken carries the call token to an upstream, which sends it back on its sub-calls.
	HeaderToken = "Pomelo-Call"
	// HeaderRootID carries the root request's id to upstreams and callers.
	HeaderRootID = "Pomelo-Root"
	// HeaderIdempotency carries the caller's idempotency key.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderPrefix is the prefix of the protocol's own headers.
	HeaderPrefix = "Pomelo-"
)

// Paths of a node's loopback listener for its upstream.
const (
	// PathAnnounce accepts an Upstream as JSON by POST, and its withdrawal by DELETE.
	PathAnnounce = "/announce"
	// PathCall is the prefix of a sub-call's path: PathCall + service + the path at the service.
	PathCall = "/call/"
)

// Key prefixes in the store; all of them start with PrefixAll.
const (
	PrefixAll       = "pomelo/"
	PrefixMember    = PrefixAll + "member/"
	PrefixCrash     = PrefixAll + "crash/"
	PrefixConfig    = PrefixAll + "config/"
	PrefixAccount   = PrefixConfig + "account/"
	PrefixKey       = PrefixConfig + "key/"
	PrefixRoute     = PrefixConfig + "route/"
	PrefixObjective = PrefixConfig + "objective/"
	PrefixStop      = PrefixConfig + "stop/"
	PrefixRoster    = PrefixAll + "roster/"
	// KeyEpoch holds the store's epoch, incremented when the store returns with an older state.
	KeyEpoch = PrefixAll + "epoch"
)
