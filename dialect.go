package pomelo

import "net/http"

// Request is one request as a caller sent it.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	Path   string
	// Header holds what may be passed on.
	Header http.Header
	Body   []byte
	// KeyID is the digest of the key that came along, or empty.
	KeyID string
	// Patience is how long, in milliseconds, the caller will wait; 0 when it does not say.
	Patience Millis
}

// Reply is one whole response to a caller.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Close ends the connection after this response.
	Close bool
}

// Verdict is what an upstream's response says about the call that was sent to it.
type Verdict struct {
	// Other marks a response to another call.
	Other bool
	// NotRun marks the upstream's statement that it has not run the call.
	NotRun bool
	// Gone marks that another upstream has the address.
	Gone bool
	// Pause is when to come back, in milliseconds; 0 when the upstream does not say.
	Pause Millis
}

// Dialect translates between HTTP messages and calls; it decides nothing.
type Dialect interface {
	// Request decodes a caller's request; the error is a *Fault of KindBadRequest.
	Request(r *http.Request, body []byte) (Request, error)
	// Reply encodes the answer to the request with this id.
	Reply(id string, a Answer) Reply
	// Outgoing is the head of the call towards the upstream with this id; left is the time that the call still has.
	Outgoing(c Call, upstream string, left Millis) http.Header
	// Verdict reads the head of a response to the call.
	Verdict(c Call, status int, h http.Header) Verdict
}

// Instance is what an upstream says of itself in one heartbeat.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Version string
	Slots   int
	// Leaving marks an upstream that takes no new calls.
	Leaving bool
	// Warmup is how much longer, in milliseconds, it stays slow after its start.
	Warmup Millis
	// Sequence rises with each heartbeat of one start, and Born is the time of that start.
	Sequence int64
	Born     Millis
}
