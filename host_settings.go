package pomelo

// HostSettings are the settings that the platform gives a node at its start; times are in milliseconds, addresses host and port.
type HostSettings struct {
	VM               string
	IP               string
	AvailabilityZone string
	// Region is the region of the availability zone, or empty if the platform states none.
	Region string
	// Service is the service of the upstream beside the node.
	Service         string
	UpstreamAddress string
	// FirstStart marks the first start of the whole fleet.
	FirstStart bool
	// MemoryBytes is the memory of the process, and MaxDescriptors the maximum number of its descriptors; 0 if the platform states none.
	MemoryBytes    int
	MaxDescriptors int
	CallerAddress  string
	ReadyAddress   string
	ControlAddress string
	PeerAddress    string
	StoreURL       string
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL Millis
	// HeartbeatInterval is the approximate time between two heartbeats of an upstream; 0 if the platform states none.
	HeartbeatInterval Millis
	// KeyMaxAge is the longest time that a withdrawn key may still be accepted.
	KeyMaxAge Millis
	// DrainGrace is the time from a stop request until the process is killed.
	DrainGrace Millis
	// RetryRatio is the maximum ratio of retries to requests of a service within RetryWindow.
	RetryRatio  float64
	RetryWindow Millis
	// ColdOver and ColdSlack bound the calls that arrive at a cold upstream in a second: ColdOver times the tolerated starts, plus ColdSlack; 0 if the platform states none.
	ColdOver  float64
	ColdSlack float64
	// EvacuateWithin is the time after the order to evacuate a zone by which no call may reach its upstreams; 0 means that evacuations don't apply.
	EvacuateWithin Millis
	// StallTimeout is the time in which a body or the reader of an answer must make progress; 0 means the default.
	StallTimeout Millis
	// Features are enabled by the command line.
	Features Features
}
