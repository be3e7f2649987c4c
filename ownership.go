package pomelo

// Roster lists the members that may hold rights; Previous are the members of the generation before, a majority of which must acknowledge this one.
type Roster struct {
	Name       string   `json:"name"`
	Generation int64    `json:"generation"`
	Members    []Member `json:"members"`
	Previous   []Member `json:"previous,omitempty"`
}

// RosterHeartbeat asks a member which generation it knows; Roster comes along where the asked may not know it yet.
type RosterHeartbeat struct {
	Name       string  `cbor:"1,keyasint"`
	Generation int64   `cbor:"2,keyasint"`
	Resigned   bool    `cbor:"3,keyasint,omitempty"`
	Roster     *Roster `cbor:"4,keyasint,omitempty"`
}

// RosterHeartbeatReply answers a RosterBeat; Silent names the members, by VM, that the answering one has not heard from of late.
type RosterHeartbeatReply struct {
	Incarnation  string   `cbor:"1,keyasint"`
	Generation   int64    `cbor:"2,keyasint"`
	InEffect     bool     `cbor:"3,keyasint,omitempty"`
	Resigned     bool     `cbor:"4,keyasint,omitempty"`
	Unresponsive []string `cbor:"5,keyasint,omitempty"`
	Roster       *Roster  `cbor:"6,keyasint,omitempty"`
}

// Ownership tells who holds a right that only one node of the fleet may use at a time; a right is any name, such as "claim/shop/growers/k1", and costs nothing until it is asked for.
type Ownership interface {
	// Owner is the member that the right belongs to, as far as this node knows: a hint on whom to ask, false while no roster is known.
	Owner(right string) (Member, bool)
	// IsOwner reports whether this node may act on the right now; it is cheap, and is to be asked right before each act, after any wait.
	IsOwner(right string) bool
	// OwnedSince is when, by this node's clock, it took the right over without a break until now; 0 if it does not hold it.
	OwnedSince(right string) Millis
}

// TimedOwnership is a Standing that also measures how long a right has been held.
type TimedOwnership interface {
	Ownership
	// OwnedFor is for how many milliseconds, by a steady clock and at least, this node has held the right; 0 if it does not hold it.
	OwnedFor(right string) Millis
}
