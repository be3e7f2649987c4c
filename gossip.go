package pomelo

// Gossip is one message of the gossip protocol: the sender's position, the records that the receiver lacks, and the freshness of the sender's copy.
type Gossip struct {
	Position Position     `cbor:"1,keyasint"`
	Batch    *RecordBatch `cbor:"2,keyasint,omitempty"`
	// StoreReadAge is the age of the newest store read that the sender's copy is based on, in milliseconds; negative means none.
	StoreReadAge Millis `cbor:"3,keyasint"`
	// LastSeen lists the time since each witness was last seen.
	LastSeen []LastSeen `cbor:"4,keyasint,omitempty"`
}

// LastSeen is the time since a VM was last seen, in milliseconds.
type LastSeen struct {
	VM  string `cbor:"1,keyasint"`
	Age Millis `cbor:"2,keyasint"`
}

// Drain notifies a peer that the sender stops or resumes accepting work.
type Drain struct {
	Draining bool `cbor:"1,keyasint"`
}
