package pomelo

// TrafficService describes the upstreams of one service.
type TrafficService struct {
	Name string
	// HealthPath is the path of the health check; empty if there is none.
	HealthPath string
	// WarmupTime is the time after a start, in milliseconds, in which an upstream is cold.
	WarmupTime Millis
	// WarmupPerSecond is the number of call starts a second that a cold upstream tolerates; 0 means no limit.
	WarmupPerSecond float64
	// Gaps are the fields that could not be read.
	Gaps Gaps
}
