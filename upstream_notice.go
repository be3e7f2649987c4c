package pomelo

// UpstreamNotice is what an upstream has last stated about itself, as one node tells it to another.
type UpstreamNotice struct {
	// UpstreamID and StartedAt identify one start of the upstream.
	UpstreamID string        `cbor:"1,keyasint"`
	StartedAt  Millis        `cbor:"2,keyasint,omitempty"`
	Rate       RateStatement `cbor:"3,keyasint"`
	// Left marks an upstream that accepts no new calls until it starts again.
	Left bool `cbor:"4,keyasint,omitempty"`
	// WarmupLeft is the remaining time, in milliseconds, in which the upstream is cold.
	WarmupLeft Millis `cbor:"5,keyasint,omitempty"`
}

// IsAbout reports whether the notice is about this start of an upstream.
func (n UpstreamNotice) IsAbout(i Instance) bool {
	return n.UpstreamID == i.ID && n.StartedAt == i.StartedAt
}
