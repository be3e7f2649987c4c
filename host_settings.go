package pomelo

// HostSettings are what the platform tells a node at its start; times are in milliseconds, addresses host and port.
type HostSettings struct {
	VM               string
	IP               string
	AvailabilityZone string
	// Service is the one that the upstream beside the node belongs to.
	Service         string
	UpstreamAddress string
	// FirstStart marks the first start of the whole fleet.
	FirstStart     bool
	MemoryBytes    int
	CallerAddress  string
	ReadyAddress   string
	ControlAddress string
	PeerAddress    string
	StoreURL       string
	// MinLeaseTTL is the shortest lease that the store gives.
	MinLeaseTTL Millis
	// KeyMaxAge is how long a withdrawn key may still be accepted.
	KeyMaxAge Millis
	// DrainGrace is the time from a request to stop until the process is killed.
	DrainGrace Millis
	// RetryRatio is the share of a service's requests that may be sent once more within RetryWindow.
	RetryRatio  float64
	RetryWindow Millis
}
