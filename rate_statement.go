package pomelo

// RateStatement is an upstream's statement about the requests that it accepts; the zero value states no limit.
type RateStatement struct {
	// Limited is true while the upstream states a limit.
	Limited bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the number of requests a second that the upstream accepts from all nodes together.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}
