package pomelo

import "context"

// FenceRetention is the minimum time that a serving node retains calls and fences, in milliseconds of its own running time.
const FenceRetention = Millis(60_000)

// FenceRequest asks the serving node for the outcome of a call whose answer was lost; a call that has not started there is fenced, unless it is idempotent.
type FenceRequest struct {
	ID         string `cbor:"1,keyasint"`
	Idempotent bool   `cbor:"2,keyasint,omitempty"`
}

// Fencer resolves calls in doubt at the node that they were sent to.
type Fencer interface {
	// Resolve waits for a running call's answer, repeats the answer of a finished call, or fences a call that has not started and refuses it as not run; a context that ends because the connection was lost leaves the call running.
	Resolve(ctx context.Context, q FenceRequest) Answer
}
