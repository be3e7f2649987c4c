package pomelo

// Roster is one generation of a member list; its members may own resources.
type Roster struct {
	Name       string   `json:"name"`
	Generation int64    `json:"generation"`
	Members    []Member `json:"members"`
	// Previous are the members of the previous generation, a majority of which must acknowledge this one.
	Previous []Member `json:"previous,omitempty"`
}

// RosterHeartbeat asks a member for the generation that it knows.
type RosterHeartbeat struct {
	Name       string `cbor:"1,keyasint"`
	Generation int64  `cbor:"2,keyasint"`
	Resigned   bool   `cbor:"3,keyasint,omitempty"`
	// Roster is set when the receiver may not know this generation yet.
	Roster *Roster `cbor:"4,keyasint,omitempty"`
}

// RosterHeartbeatReply answers a RosterHeartbeat.
type RosterHeartbeatReply struct {
	Incarnation string `cbor:"1,keyasint"`
	Generation  int64  `cbor:"2,keyasint"`
	InEffect    bool   `cbor:"3,keyasint,omitempty"`
	Resigned    bool   `cbor:"4,keyasint,omitempty"`
	// Unresponsive lists the VMs of members from which the sender has recently received no heartbeat.
	Unresponsive []string `cbor:"5,keyasint,omitempty"`
	Roster       *Roster  `cbor:"6,keyasint,omitempty"`
}

// Ownership reports which node owns a resource that only one node of the fleet may use at a time; a resource is any name, such as "claim/shop/growers/k1", and takes no memory until it is first queried.
type Ownership interface {
	// Owner returns the owner of the resource as far as this node knows, a hint for routing only, or false while no roster is known.
	Owner(resource string) (Member, bool)
	// IsOwner reports whether this node may act on the resource now; it is cheap, and callers must check again before each act, after any wait.
	IsOwner(resource string) bool
	// OwnedSince returns when, by this node's wall clock, its uninterrupted ownership of the resource began, or 0 if it is not the owner.
	OwnedSince(resource string) Millis
}

// TimedOwnership is an Ownership that also measures the duration of ownership by a monotonic clock.
type TimedOwnership interface {
	Ownership
	// OwnedFor returns the minimum time that this node has owned the resource, in milliseconds by a monotonic clock, or 0 if it is not the owner.
	OwnedFor(resource string) Millis
}

// MaxMemberProofAge is the highest age, in milliseconds, of a proof that a copy of the member list is current, by which an owner may still act; it is less than the 5 s for which keys count as fresh.
const MaxMemberProofAge = Millis(4_500)
