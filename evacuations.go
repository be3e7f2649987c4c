package pomelo

// Evacuations tells which availability zones the operators have evacuated: nothing may be sent to their upstreams.
type Evacuations interface {
	IsEvacuated(zone string) bool
	// Evacuated returns the names of the evacuated zones in alphabetical order; the slice must not be changed.
	Evacuated() []string
}

// EvacuationRecord is the order to evacuate an availability zone, or its end, at a revision of the store.
type EvacuationRecord struct {
	Zone     string
	Revision Revision
	Ended    bool
}

// WaitingRefuser refuses calls that wait for a slot.
type WaitingRefuser interface {
	// RefuseWaiting refuses all waiting calls, each with a fault of its own, and returns their number; running calls continue.
	RefuseWaiting(newFault func() *Fault) int
}
