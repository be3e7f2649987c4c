package pomelo

// Position orders states of the store: its epoch, raised when the store came back with an older state, and its revision within.
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

// RecordBatch is changed records in the order of their revisions, after which the receiver is complete up to Position; Full says that it is a whole listing.
type RecordBatch struct {
	Records  []Record `cbor:"1,keyasint,omitempty" json:"records,omitempty"`
	Position Position `cbor:"2,keyasint" json:"position"`
	Full     bool     `cbor:"3,keyasint,omitempty" json:"full,omitempty"`
}
