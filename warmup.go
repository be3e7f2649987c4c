package pomelo

// Warmup limits the calls that start at a cold upstream; the zero value states no limit.
type Warmup struct {
	// PerSecond is the number of calls that may start in a second.
	PerSecond float64
	// Until is the time at which the upstream is no longer cold, in milliseconds on the limiter's clock.
	Until Millis
}

// WarmupSource names what the knowledge that an upstream is cold comes from.
type WarmupSource string

// Sources of the knowledge that an upstream is cold.
const (
	WarmupFromHeartbeat WarmupSource = "heartbeat"
	WarmupFromHealth    WarmupSource = "health"
	// WarmupFromRefused means that the address has refused a connection.
	WarmupFromRefused WarmupSource = "refused"
	// WarmupFromResumed means that the node has restarted, and has not heard of its upstream.
	WarmupFromResumed WarmupSource = "resumed"
	// WarmupFromRestored means that the evacuation of the upstream's zone has ended.
	WarmupFromRestored WarmupSource = "restored"
	// WarmupFromNotice means that another node has passed on what the upstream stated.
	WarmupFromNotice WarmupSource = "notice"
)
