package pomelo

// ClaimRecord is the claim on one idempotency key, as its owner hands it over to the next owner.
type ClaimRecord struct {
	// Resource is the name of the claim in Ownership.
	Resource string `cbor:"1,keyasint"`
	// Digest is a hash of the request.
	Digest    string `cbor:"2,keyasint"`
	ClaimedAt Millis `cbor:"3,keyasint"`
	// Ran is empty while the call runs.
	Ran Ran `cbor:"4,keyasint"`
	// Answer is nil when it was not retained.
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	Body   []byte  `cbor:"6,keyasint,omitempty"`
}

// ClaimBatch hands claims over to their next owner.
type ClaimBatch struct {
	Records []ClaimRecord `cbor:"1,keyasint,omitempty"`
	// Complete marks the last batch: the receiver now has the claims of all keys claimed at Since or later, by the sender's clock.
	Complete bool   `cbor:"2,keyasint,omitempty"`
	Since    Millis `cbor:"3,keyasint,omitempty"`
}

// OwnershipHistory is implemented by an Ownership that also knows past owners.
type OwnershipHistory interface {
	// PreviousOwner returns the owner of the resource in the generation before the known one; a process that has left never returns as the same owner.
	PreviousOwner(resource string) (Member, bool)
	// Rosters returns the known generation of each roster.
	Rosters() []Roster
	// PreviouslyOwnedSince returns when this node had acquired a resource that it lost in the latest change of owners.
	PreviouslyOwnedSince(resource string) (Millis, bool)
}

// ClaimQuery asks the previous owner of a resource for its claim.
type ClaimQuery struct {
	Resource string `cbor:"1,keyasint"`
}

// ClaimReply holds the claim, or nil when there is none among the keys claimed at Since or later by the answering node's clock.
type ClaimReply struct {
	Record *ClaimRecord `cbor:"1,keyasint,omitempty"`
	Since  Millis       `cbor:"2,keyasint,omitempty"`
}
