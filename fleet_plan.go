package pomelo

// FleetPlan configures a small fleet on loopback: a stand-in store, services of stand-in upstreams with one real node each, and the operators' configuration.
type FleetPlan struct {
	Name string `json:"name,omitempty"`
	// Note explains the choice of sizes and times to a reader.
	Note string `json:"note,omitempty"`
	// Scale is the fraction of the described deployment's slots and connections; 0 means 1.
	Scale float64 `json:"scale,omitempty"`
	// ClientDelay is the one-way network delay between a client and a node, in milliseconds.
	ClientDelay Millis          `json:"client_delay_ms,omitempty"`
	Services    []FleetService  `json:"services"`
	Accounts    []ClientAccount `json:"accounts"`
	Routes      []Route         `json:"routes"`
	Limits      LimitSettings   `json:"limits"`
}

// FleetService is Count upstreams with the same configuration, assigned to the availability zones in turn.
type FleetService struct {
	Upstream FakeUpstream `json:"upstream"`
	Count    int          `json:"count"`
	Zones    []string     `json:"zones"`
}
