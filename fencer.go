package pomelo

import "context"

// FenceRetention is how long, in milliseconds of its own running time, a serving node remembers calls and fences at least.
const FenceRetention = Millis(60_000)

// FenceRequest asks the serving node what became of a call whose answer did not come; a call not started there is fenced, unless it is idempotent.
type FenceRequest struct {
	ID         string `cbor:"1,keyasint"`
	Idempotent bool   `cbor:"2,keyasint,omitempty"`
}

// Fencer settles calls that are in doubt at the node they were sent to.
type Fencer interface {
	// Resolve waits for a running call's answer, repeats a finished one's, or refuses as not run a call that will now never start; the context's end by a lost connection leaves the call running.
	Resolve(ctx context.Context, q FenceRequest) Answer
}
