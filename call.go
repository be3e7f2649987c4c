package pomelo

import (
	"context"
	"net/http"
)

// Call is a request to a service, as one node forwards it to another.
type Call struct {
	ID         string      `cbor:"1,keyasint"`
	RootID     string      `cbor:"2,keyasint"`
	Account    string      `cbor:"3,keyasint,omitempty"`
	KeyID      string      `cbor:"4,keyasint,omitempty"`
	RouteName  string      `cbor:"5,keyasint,omitempty"`
	Importance int         `cbor:"6,keyasint,omitempty"`
	Service    string      `cbor:"7,keyasint"`
	Method     string      `cbor:"8,keyasint"`
	Path       string      `cbor:"9,keyasint"`
	Header     http.Header `cbor:"10,keyasint,omitempty"`
	// TimeLeft is the time to the deadline when the call was sent, in milliseconds.
	TimeLeft Millis `cbor:"11,keyasint"`
	// RetriesLeft is the number of retries that the root request may still use, over all hops.
	RetriesLeft int `cbor:"12,keyasint,omitempty"`
	// Depth is 0 for a root request and increases by 1 with each level of sub-calls.
	Depth          int    `cbor:"13,keyasint,omitempty"`
	NonIdempotent  bool   `cbor:"14,keyasint,omitempty"`
	IdempotencyKey string `cbor:"15,keyasint,omitempty"`
	ParentID       string `cbor:"16,keyasint,omitempty"`
	// ToKeyOwner marks a call forwarded to the owner of its idempotency key.
	ToKeyOwner bool   `cbor:"17,keyasint,omitempty"`
	Host       string `cbor:"18,keyasint,omitempty"`
	// Origin is the service of the node that received the request; for a sub-call it is the calling service.
	Origin string `cbor:"19,keyasint,omitempty"`
	// FairShareAccount is the client account charged for the call by fair shedding; sub-calls charge the account of their root request.
	FairShareAccount string `cbor:"20,keyasint,omitempty"`
	// LatencyObjective is the route's latency objective, in milliseconds.
	LatencyObjective Millis `cbor:"21,keyasint,omitempty"`
	// Notice is what the sender knows of the member's upstream, for a node that has restarted since; nil when it knows nothing.
	Notice *UpstreamNotice `cbor:"22,keyasint,omitempty"`
	Body   []byte          `cbor:"-"`
	// Regions are the regions in which the call may run; nil allows any. They bind the node that chooses the call's member, and are never sent to another node.
	Regions []string `cbor:"-"`
	// Deadline is the local clock's time at which TimeLeft ends; it is never sent to another node.
	Deadline Millis `cbor:"-"`
}

// expectedShare is the share of its latency objective within which a call is expected to be answered.
const expectedShare = 0.5

// CanEndBy reports whether the call can be expected to be answered by the given time if it starts now.
func (c Call) CanEndBy(end, now Millis) bool {
	return now+Millis(expectedShare*float64(c.LatencyObjective)) <= end
}

// SubtreeCalls counts the calls that a call and its sub-calls made to one service.
type SubtreeCalls struct {
	Service string `cbor:"1,keyasint"`
	Calls   int    `cbor:"2,keyasint"`
	// ShedThreshold is the service's shedding threshold: 0 sheds nothing, 1 sheds everything.
	ShedThreshold float64 `cbor:"3,keyasint,omitempty"`
	// Refused counts the calls that ended refused for overload.
	Refused int `cbor:"4,keyasint,omitempty"`
}

// Answer is the outcome of a call: the upstream's complete response, or a Refusal.
type Answer struct {
	CallID       string         `cbor:"1,keyasint"`
	Status       int            `cbor:"2,keyasint,omitempty"`
	Header       http.Header    `cbor:"3,keyasint,omitempty"`
	Refusal      *Fault         `cbor:"4,keyasint,omitempty"`
	RetriesLeft  int            `cbor:"5,keyasint,omitempty"`
	Draining     bool           `cbor:"6,keyasint,omitempty"`
	SubtreeCalls []SubtreeCalls `cbor:"7,keyasint,omitempty"`
	// SelfTime is the time spent in the upstream without its sub-calls, in milliseconds.
	SelfTime Millis `cbor:"8,keyasint,omitempty"`
	// ReachedUpstream marks a refused call that was sent to the upstream.
	ReachedUpstream bool `cbor:"9,keyasint,omitempty"`
	// Load is the number of calls running and waiting at the serving node, divided by Capacity.
	Load float64 `cbor:"10,keyasint,omitempty"`
	// Capacity is the number of calls that the upstream can run at the same time; 0 when unknown.
	Capacity float64 `cbor:"11,keyasint,omitempty"`
	// Notice is what the upstream has stated about itself; nil before its first response.
	Notice *UpstreamNotice `cbor:"12,keyasint,omitempty"`
	Body   []byte          `cbor:"-"`
}

// Refuse returns the answer that refuses call id with f.
func Refuse(id string, f *Fault) Answer {
	return Answer{CallID: id, Refusal: f}
}

// Handler answers a call; cancelling the context cancels the call, and the answer is always final.
type Handler interface {
	Handle(ctx context.Context, c Call) Answer
}

// Transport sends a call to a member and returns its answer; a refusal of its own states correctly whether the call ran.
type Transport interface {
	Send(ctx context.Context, m Member, c Call) Answer
}
