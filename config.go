package pomelo

// ClientAccount is a customer with its rate, in requests per second over the whole fleet, and its burst, in requests.
type ClientAccount struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Key is a client account's key; ID is the hex SHA-256 of its secret, which is never stored.
type Key struct {
	ID        string `json:"id"`
	Account   string `json:"account"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Route configures the requests named "METHOD /path"; importance is 0 to 9, worth is per answer, the timeout in milliseconds.
type Route struct {
	Name          string  `json:"name"`
	Service       string  `json:"service"`
	Importance    int     `json:"importance"`
	Worth         float64 `json:"worth"`
	NonIdempotent bool    `json:"non_idempotent,omitempty"`
	// Open routes accept requests without a key.
	Open    bool   `json:"open,omitempty"`
	Timeout Millis `json:"timeout_ms"`
	// Removed marks a deleted route.
	Removed bool `json:"removed,omitempty"`
}

// Objective is a service level objective: the share of complete answers, and the latency, in milliseconds, within which LatencyShare of them arrive.
type Objective struct {
	Service       string  `json:"service"`
	CompleteShare float64 `json:"whole_share"`
	Latency       Millis  `json:"latency_ms"`
	LatencyShare  float64 `json:"latency_share"`
}

// Stop is the scheduled stop of a VM, in milliseconds since the Unix epoch.
type Stop struct {
	VM        string `json:"vm"`
	At        Millis `json:"at_ms"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Configuration is the operators' configuration as this node knows it; it never returns to a lower revision.
type Configuration interface {
	Account(name string) (ClientAccount, bool)
	Key(id string) (Key, bool)
	// Route returns the route with the longest matching path prefix for the method.
	Route(method, path string) (Route, bool)
	// HasRoute reports whether a route with exactly this name is known.
	HasRoute(name string) bool
	Objective(service string) (Objective, bool)
	Stop(vm string) (Stop, bool)
	Revision() Revision
	// KeysFresh reports whether the node's copy of the keys is recent enough to accept requests by it.
	KeysFresh() bool
}
