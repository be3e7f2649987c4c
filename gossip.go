package pomelo

// Gossip is what one node tells another: its position, the records that the other lacks, and how fresh its knowledge is.
type Gossip struct {
	Position Position     `cbor:"1,keyasint"`
	Batch    *RecordBatch `cbor:"2,keyasint,omitempty"`
	// StoreReadAge is the age, in milliseconds, of the newest read of the store that this node's knowledge rests on; negative means none.
	StoreReadAge Millis `cbor:"3,keyasint"`
	// LastSeen lists how long ago, in milliseconds, each witness was heard of.
	LastSeen []LastSeen `cbor:"4,keyasint,omitempty"`
}

// LastSeen is the age, in milliseconds, of the newest sign of life of a VM.
type LastSeen struct {
	VM  string `cbor:"1,keyasint"`
	Age Millis `cbor:"2,keyasint"`
}

// Drain tells a peer that the sender takes no new work, or that it does again.
type Drain struct {
	Draining bool `cbor:"1,keyasint"`
}
