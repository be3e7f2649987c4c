package pomelo

import "io"

// BodyReader reads bodies within limits, such as those of a budget that several connections share.
type BodyReader interface {
	// ReadAll reads r to its end, or returns an error once a limit is exceeded.
	ReadAll(r io.Reader) ([]byte, error)
}
