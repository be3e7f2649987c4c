package dialer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/quic-go/quic-go"
)

// Request sends request to the member and fills reply from its answer; it implements pomelo.Peers.
func (p *Pool) Request(ctx context.Context, m pomelo.Member, kind pomelo.MessageKind, request, reply any) error {
	l, s, err := p.peer(m).open(ctx)
	if err != nil {
		return lost(err, pomelo.RanNo)
	}
	defer l.leave(s)
	err = p.question(ctx, s, kind, request, reply)
	if !pomelo.IsKind(err, pomelo.KindPeerLost) {
		l.hear()
	}
	return err
}

// question carries one question over an open stream, which is done with afterwards.
func (p *Pool) question(ctx context.Context, s *quic.Stream, kind pomelo.MessageKind, request, reply any) error {
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	id := uuid.NewString()
	if err := p.codec.Write(s, kind, id, request, nil); err != nil {
		cancelStream(s)
		return writeFault(err)
	}
	if err := s.Close(); err != nil {
		return lost(err, pomelo.RanUnknown)
	}
	return p.reply(s, id, reply)
}

func (p *Pool) reply(s *quic.Stream, id string, reply any) error {
	m, err := p.codec.Read(s)
	if err != nil {
		cancelStream(s)
		return lost(err, pomelo.RanUnknown)
	}
	if m.ID != id {
		return lost(errors.New("the answer belongs to another question"), pomelo.RanUnknown)
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
