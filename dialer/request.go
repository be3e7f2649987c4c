package dialer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/quic-go/quic-go"
)

// Request sends request to the member and decodes its answer into reply; it implements pomelo.Peers.
func (p *Pool) Request(ctx context.Context, m pomelo.Member, kind pomelo.MessageKind, request, reply any) error {
	open := p.peer(m).openStream
	if kind == pomelo.MessageChanges {
		// The peer answers after a wait of up to a second, for which a monitored connection would be pinged five times; the context bounds the wait.
		open = p.peer(m).openUnmonitoredStream
	}
	c, s, err := open(ctx)
	if err != nil {
		return peerLost(err, pomelo.RanNo)
	}
	defer c.removeStream(s)
	err = p.exchange(ctx, s, kind, request, reply)
	if !pomelo.IsKind(err, pomelo.KindPeerLost) {
		c.recordAnswer()
	}
	return err
}

// exchange sends one request over an open stream and reads its reply; the stream can't be used afterwards.
func (p *Pool) exchange(ctx context.Context, s *quic.Stream, kind pomelo.MessageKind, request, reply any) error {
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	id := uuid.NewString()
	if err := p.codec.Write(s, kind, id, request, nil); err != nil {
		cancelStream(s)
		return writeFault(err)
	}
	if err := s.Close(); err != nil {
		return peerLost(err, pomelo.RanUnknown)
	}
	return p.readReply(s, id, reply)
}

func (p *Pool) readReply(s *quic.Stream, id string, reply any) error {
	m, err := p.codec.Read(s)
	if err != nil {
		cancelStream(s)
		return peerLost(err, pomelo.RanUnknown)
	}
	if m.ID != id {
		return peerLost(errors.New("the answer belongs to another question"), pomelo.RanUnknown)
	}
	if m.Kind == pomelo.MessageReply {
		return p.codec.Decode(m, reply)
	}
	var f pomelo.Fault
	if err := p.codec.Decode(m, &f); err != nil {
		return err
	}
	return &f
}
