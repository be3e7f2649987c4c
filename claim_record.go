package pomelo

// ClaimRecord is one idempotency key's claim as its owner hands it over: Right names it, Digest is of the request, Ran and Answer are the outcome; Ran is empty while the call runs, and Answer nil when it is not kept.
type ClaimRecord struct {
	Resource  string  `cbor:"1,keyasint"`
	Digest    string  `cbor:"2,keyasint"`
	ClaimedAt Millis  `cbor:"3,keyasint"`
	Ran       Ran     `cbor:"4,keyasint"`
	Answer    *Answer `cbor:"5,keyasint,omitempty"`
	Body      []byte  `cbor:"6,keyasint,omitempty"`
}

// ClaimBatch hands claims over to their next owner; Complete says that it has now got all, of keys claimed at Since or later by the sender's clock.
type ClaimBatch struct {
	Records  []ClaimRecord `cbor:"1,keyasint,omitempty"`
	Complete bool          `cbor:"2,keyasint,omitempty"`
	Since    Millis        `cbor:"3,keyasint,omitempty"`
}

// OwnershipHistory is what a Standing may tell besides.
type OwnershipHistory interface {
	// PreviousOwner is the owner of the right in the generation before the known one; it is not to come back once it has left.
	PreviousOwner(right string) (Member, bool)
	// Rosters are the known generations.
	Rosters() []Roster
	// PreviouslyOwnedSince is when this node had taken a right over that it lost by the latest change.
	PreviouslyOwnedSince(right string) (Millis, bool)
}

// ClaimQuery asks the owner of a right in the generation before what it knows of it.
type ClaimQuery struct {
	Resource string `cbor:"1,keyasint"`
}

// ClaimReply tells the claim, or that there is none among keys claimed at Since or later by the clock of the one asked.
type ClaimReply struct {
	Record *ClaimRecord `cbor:"1,keyasint,omitempty"`
	Since  Millis       `cbor:"2,keyasint,omitempty"`
}
