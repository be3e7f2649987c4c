package pomelo

import (
	"context"
	"net/http"
)

// Call is one request on its way to a service; Budget is the deadline left in milliseconds when it was sent.
type Call struct {
	ID             string      `cbor:"1,keyasint"`
	RootID         string      `cbor:"2,keyasint"`
	Account        string      `cbor:"3,keyasint,omitempty"`
	KeyID          string      `cbor:"4,keyasint,omitempty"`
	RouteName      string      `cbor:"5,keyasint,omitempty"`
	Importance     int         `cbor:"6,keyasint,omitempty"`
	Service        string      `cbor:"7,keyasint"`
	Method         string      `cbor:"8,keyasint"`
	Path           string      `cbor:"9,keyasint"`
	Header         http.Header `cbor:"10,keyasint,omitempty"`
	TimeLeft       Millis      `cbor:"11,keyasint"`
	RetriesLeft    int         `cbor:"12,keyasint,omitempty"`
	Depth          int         `cbor:"13,keyasint,omitempty"`
	NonIdempotent  bool        `cbor:"14,keyasint,omitempty"`
	IdempotencyKey string      `cbor:"15,keyasint,omitempty"`
	ParentID       string      `cbor:"16,keyasint,omitempty"`
	// ToKeyOwner marks a call that goes to the owner of its idempotency key.
	ToKeyOwner bool   `cbor:"17,keyasint,omitempty"`
	Host       string `cbor:"18,keyasint,omitempty"`
	// Origin is the service beside the node where the request began.
	Origin string `cbor:"19,keyasint,omitempty"`
	// FairShareAccount is the client account that the call is counted to under overload; sub-calls are counted to their root's.
	FairShareAccount string `cbor:"20,keyasint,omitempty"`
	// LatencyObjective is the latency objective, in milliseconds.
	LatencyObjective Millis `cbor:"21,keyasint,omitempty"`
	Body             []byte `cbor:"-"`
	// Deadline is the local clock's reading of Budget's end; it never crosses the network.
	Deadline Millis `cbor:"-"`
}

// SubtreeCalls counts the calls of one subtree on one service and those of them that ended refused for overload, and carries that service's shedding threshold (0: nothing shed, 1: all shed).
type SubtreeCalls struct {
	Service       string  `cbor:"1,keyasint"`
	Calls         int     `cbor:"2,keyasint"`
	ShedThreshold float64 `cbor:"3,keyasint,omitempty"`
	Refused       int     `cbor:"4,keyasint,omitempty"`
}

// Answer is the outcome of a call: the upstream's whole response, or a Refusal.
type Answer struct {
	CallID       string         `cbor:"1,keyasint"`
	Status       int            `cbor:"2,keyasint,omitempty"`
	Header       http.Header    `cbor:"3,keyasint,omitempty"`
	Refusal      *Fault         `cbor:"4,keyasint,omitempty"`
	RetriesLeft  int            `cbor:"5,keyasint,omitempty"`
	Draining     bool           `cbor:"6,keyasint,omitempty"`
	SubtreeCalls []SubtreeCalls `cbor:"7,keyasint,omitempty"`
	SelfTime     Millis         `cbor:"8,keyasint,omitempty"`
	// ReachedUpstream marks a refused call that was sent to the upstream.
	ReachedUpstream bool `cbor:"9,keyasint,omitempty"`
	// Load is the calls that run and wait at the serving node, by the upstream's slots.
	Load float64 `cbor:"10,keyasint,omitempty"`
	Body []byte  `cbor:"-"`
}

// Refuse returns the answer that refuses call id with f.
func Refuse(id string, f *Fault) Answer {
	return Answer{CallID: id, Refusal: f}
}

// Handler answers a call; cancelling the context cancels the call, and the answer is always final.
type Handler interface {
	Handle(ctx context.Context, c Call) Answer
}

// Transport carries a call to one member and brings its answer; the refusal it makes up itself says truthfully whether the call ran.
type Transport interface {
	Send(ctx context.Context, m Member, c Call) Answer
}
