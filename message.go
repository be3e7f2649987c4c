package pomelo

import "context"

// MessageKind identifies the content of a message between nodes.
type MessageKind byte

// Kinds of messages between nodes.
const (
	MessageCall      MessageKind = 1
	MessageAnswer    MessageKind = 2
	MessageReply     MessageKind = 3
	MessageFault     MessageKind = 4
	MessageFence     MessageKind = 10
	MessageClaim     MessageKind = 11
	MessageHandover  MessageKind = 12
	MessagePing      MessageKind = 13
	MessageHeartbeat MessageKind = 20
	MessageRoster    MessageKind = 21
	MessageGrant     MessageKind = 22
	MessageGossip    MessageKind = 30
	MessageDrain     MessageKind = 31
	MessagePolicy    MessageKind = 32
	MessageChanges   MessageKind = 33
)

// Message is one framed message between nodes: an encoded head and a raw body, both fully read.
type Message struct {
	Kind MessageKind
	ID   string
	Head []byte
	Body []byte
}

// Peers sends requests to other nodes; an error is the peer's own *Fault, or KindPeerLost when no answer arrived.
type Peers interface {
	// Request sends request to the member as a message of the kind, and decodes the answer into reply, a pointer.
	Request(ctx context.Context, m Member, kind MessageKind, request, reply any) error
}

// Responder answers the requests of one message kind; decode fills a pointer from the request.
type Responder func(ctx context.Context, from Member, decode func(request any) error) (reply any, err error)
