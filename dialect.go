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
	// Header holds only the headers that may be forwarded.
	Header http.Header
	Body   []byte
	// KeyID is the digest of the request's key, or empty.
	KeyID string
	// CallerTimeout is the time, in milliseconds, for which the caller waits for the answer; 0 when the caller states none.
	CallerTimeout Millis
}

// Reply is one complete response to a caller.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Close closes the connection after this response.
	Close bool
}

// ResponseInfo is the information that the head of an upstream's response contains about the call it answers.
type ResponseInfo struct {
	// Mismatched marks a response to another call.
	Mismatched bool
	// Unnamed marks a response that names no call; it belongs to one only where it can't be that of an earlier call.
	Unnamed bool
	// NotRun marks the upstream's statement that it did not run the call.
	NotRun bool
	// UpstreamReplaced marks a response of another upstream that now has the address.
	UpstreamReplaced bool
	// RetryAfter is the delay before a retry, in milliseconds; 0 when the upstream states none.
	RetryAfter Millis
	// Leaving marks an upstream that accepts no new calls because it is about to stop.
	Leaving bool
	// Rate is the limit that the upstream states, and UnreadableRate its text if that is no such number.
	Rate           RateStatement
	UnreadableRate string
	// WarmupLeft is the remaining time, in milliseconds, in which the upstream is cold; only responses to health checks state it.
	WarmupLeft Millis
}

// Dialect translates between HTTP messages and calls; it makes no routing or admission decisions.
type Dialect interface {
	// DecodeRequest decodes a caller's request; its error is a *Fault of KindBadRequest.
	DecodeRequest(r *http.Request, body []byte) (Request, error)
	// EncodeReply encodes the answer to the request with this id.
	EncodeReply(id string, a Answer) Reply
	// UpstreamHeader returns the headers of the call for the upstream with this id; left is the time to the deadline, in milliseconds.
	UpstreamHeader(c Call, upstream string, left Millis) http.Header
	// DecodeResponse reads the status and headers of the upstream's response to the call.
	DecodeResponse(c Call, status int, h http.Header) ResponseInfo
	// DecodeHealth reads the response to a health check of the upstream with this id; it returns false if another upstream responded, or none that states its warm-up.
	DecodeHealth(upstream string, status int, h http.Header) (ResponseInfo, bool)
}

// Instance is an upstream as it describes itself in a heartbeat.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Version string
	Slots   int
	// Draining marks an upstream that accepts no new calls.
	Draining bool
	// Left marks an upstream that accepts no new calls until it starts again, whatever its heartbeats say.
	Left bool
	// WarmupLeft is the remaining time, in milliseconds, in which the upstream is cold: it responds slowly and tolerates few call starts.
	WarmupLeft Millis
	// Sequence increases with each heartbeat of one start, and StartedAt is the time of that start.
	Sequence  int64
	StartedAt Millis
}
