package pomelo

// Position orders states of the store: by its epoch, incremented when the store returns with an older state, then by its revision.
type Position struct {
	Epoch    int64    `cbor:"1,keyasint" json:"epoch"`
	Revision Revision `cbor:"2,keyasint" json:"revision"`
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch < q.Epoch
	}
	return p.Revision < q.Revision
}

// RecordBatch holds changed records in the order of their revisions; after applying it the receiver is complete up to Position.
type RecordBatch struct {
	Records  []Record `cbor:"1,keyasint,omitempty" json:"records,omitempty"`
	Position Position `cbor:"2,keyasint" json:"position"`
	// Full marks a complete listing rather than changes.
	Full bool `cbor:"3,keyasint,omitempty" json:"full,omitempty"`
}
