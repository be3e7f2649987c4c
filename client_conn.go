package pomelo

// ClientConn is a client's connection that a node may close when its memory or descriptors run short.
type ClientConn interface {
	// Wait returns what the node waits for on the connection.
	Wait() ClientWait
	// Evict ends what the node waits for: it closes the connection, or refuses the request that it has not read whole. It returns at once, and reports whether there was something to end.
	Evict(w ClientWait) bool
}

// WaitKind is what a node waits for on a client's connection.
type WaitKind int

// Kinds of waits. WaitNone means that closing the connection would give up a request that an upstream may have run.
const (
	WaitNone WaitKind = iota
	// WaitNew is the wait for the first request.
	WaitNew
	// WaitIdle is the wait for a further request.
	WaitIdle
	// WaitRequest is the wait for the rest of a request.
	WaitRequest
	// WaitReader is the wait for the client to read its answers.
	WaitReader
)

// String returns the kind's name in logs and metrics.
func (k WaitKind) String() string {
	return [...]string{"none", "new", "idle", "request", "reader"}[k]
}

// ClientWait is what a node waits for on a client's connection.
type ClientWait struct {
	Kind WaitKind
	// Since is the time of the client's last progress, in milliseconds of the node's clock.
	Since Millis
	// Bytes is the memory that the end of the wait gives back.
	Bytes int64
}
