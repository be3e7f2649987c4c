package pomelo

// Member is one node as its registry record describes it; Connections and Slots are what its upstream announced.
type Member struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Incarnation      string `json:"incarnation"`
	Address          string `json:"address"`
	Fingerprint      string `json:"fingerprint"`
	Service          string `json:"service,omitempty"`
	Slots            int    `json:"slots,omitempty"`
	Connections      int    `json:"connections,omitempty"`
	// Draining members take no new calls and hold no rights.
	Draining bool `json:"draining,omitempty"`
	// Term counts how often this process has given its rights up.
	Term int64 `json:"term,omitempty"`
	// SoleOwner says that no other process can still act on the rights that this one has by the list, so that its successor on the VM may go on with them.
	SoleOwner bool `json:"settled,omitempty"`
	// UpstreamID, UpstreamAddress and UpstreamBorn let a node that restarts go on with the upstream that it knew.
	UpstreamID        string `json:"upstream_id,omitempty"`
	UpstreamAddress   string `json:"upstream_address,omitempty"`
	UpstreamStartedAt Millis `json:"upstream_born_ms,omitempty"`
}

// SetDraining marks the member as leaving or takes that back; one that leaves gives its rights up.
func (m *Member) SetDraining(draining bool) {
	if draining && !m.Draining {
		m.Resign()
	}
	m.Draining = draining
}

// Resign gives up all rights of the member's present term.
func (m *Member) Resign() {
	m.Term++
	m.SoleOwner = false
}

// Upstream is what an upstream announces to the node beside it; Address is its loopback host and port.
type Upstream struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Membership tells which nodes there are; its answers stay usable through an outage of the store.
type Membership interface {
	// Self returns this node's own record.
	Self() Member
	// Serving returns the members that serve the service and are not draining.
	Serving(service string) []Member
	// All returns every known member, this node included.
	All() []Member
	// ByFingerprint finds the member whose certificate has this fingerprint.
	ByFingerprint(fingerprint string) (Member, bool)
}
