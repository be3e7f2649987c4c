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
	// CallerTimeout is how long, in milliseconds, the caller will wait; 0 when it does not say.
	CallerTimeout Millis
}

// Reply is one whole response to a caller.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Close ends the connection after this response.
	Close bool
}

// ResponseInfo is what an upstream's response says about the call that was sent to it.
type ResponseInfo struct {
	// Mismatched marks a response to another call.
	Mismatched bool
	// NotRun marks the upstream's statement that it has not run the call.
	NotRun bool
	// UpstreamReplaced marks that another upstream has the address.
	UpstreamReplaced bool
	// RetryAfter is when to come back, in milliseconds; 0 when the upstream does not say.
	RetryAfter Millis
}

// Dialect translates between HTTP messages and calls; it decides nothing.
type Dialect interface {
	// DecodeRequest decodes a caller's request; the error is a *Fault of KindBadRequest.
	DecodeRequest(r *http.Request, body []byte) (Request, error)
	// EncodeReply encodes the answer to the request with this id.
	EncodeReply(id string, a Answer) Reply
	// UpstreamHeader is the head of the call towards the upstream with this id; left is the time that the call still has.
	UpstreamHeader(c Call, upstream string, left Millis) http.Header
	// DecodeResponse reads the head of a response to the call.
	DecodeResponse(c Call, status int, h http.Header) ResponseInfo
}

// Instance is what an upstream says of itself in one heartbeat.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Version string
	Slots   int
	// Draining marks an upstream that takes no new calls.
	Draining bool
	// WarmupLeft is how much longer, in milliseconds, it stays slow after its start.
	WarmupLeft Millis
	// Sequence rises with each heartbeat of one start, and Born is the time of that start.
	Sequence  int64
	StartedAt Millis
}
