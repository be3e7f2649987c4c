package pomelo

// ClientAccount is a customer with its rate, in requests a second over the whole fleet, and its burst, in requests.
type ClientAccount struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Key is a client account's key; ID is the hex SHA-256 of its secret, which is stored nowhere.
type Key struct {
	ID        string `json:"id"`
	Account   string `json:"account"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Route marks a kind of request, named "METHOD /path", with importance 0 to 9, worth per answer, and a timeout in milliseconds.
type Route struct {
	Name          string  `json:"name"`
	Service       string  `json:"service"`
	Importance    int     `json:"importance"`
	Worth         float64 `json:"worth"`
	NonIdempotent bool    `json:"non_idempotent,omitempty"`
	Open          bool    `json:"open,omitempty"`
	Timeout       Millis  `json:"timeout_ms"`
	// Removed marks a route that no longer holds.
	Removed bool `json:"removed,omitempty"`
}

// Objective is a service's service level: the share of whole answers and the latency, in milliseconds, that LatencyShare of them keep to.
type Objective struct {
	Service       string  `json:"service"`
	CompleteShare float64 `json:"whole_share"`
	Latency       Millis  `json:"latency_ms"`
	LatencyShare  float64 `json:"latency_share"`
}

// Stop is a planned stop of a VM at a time in milliseconds since the Unix epoch.
type Stop struct {
	VM        string `json:"vm"`
	At        Millis `json:"at_ms"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Configuration is the operators' configuration as this node knows it; it never goes back to a lower revision.
type Configuration interface {
	Account(name string) (ClientAccount, bool)
	Key(id string) (Key, bool)
	// Route finds the route with the longest path prefix for the method.
	Route(method, path string) (Route, bool)
	// HasRoute reports whether the route of exactly this name is known.
	HasRoute(name string) bool
	Objective(service string) (Objective, bool)
	Stop(vm string) (Stop, bool)
	Revision() Revision
	// KeysFresh reports whether the node's knowledge of keys is recent enough to act on.
	KeysFresh() bool
}
