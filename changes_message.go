package pomelo

// ChangesRequest asks a peer for the changes in the store after a position; the reply is sent as soon as there is one, or after Wait milliseconds.
type ChangesRequest struct {
	Position Position `cbor:"1,keyasint"`
	Wait     Millis   `cbor:"2,keyasint,omitempty"`
	// StoreAway is set if the store does not respond for the sender.
	StoreAway bool `cbor:"3,keyasint,omitempty"`
}

// ChangesReply holds the changes after the requested position; after applying them the receiver has all changes up to the batch's position.
type ChangesReply struct {
	Batch RecordBatch `cbor:"1,keyasint"`
	// TooFarBehind means that the sender no longer has all changes after the requested position; the batch then has no records, and its position is that of the sender.
	TooFarBehind bool `cbor:"2,keyasint,omitempty"`
	// MembersAge is the time in milliseconds since the start of the store read that proved the sender's member list.
	MembersAge Millis `cbor:"3,keyasint,omitempty"`
	// StoreAway is set if the store does not respond for the sender.
	StoreAway bool `cbor:"4,keyasint,omitempty"`
}
