package dialer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/quic-go/quic-go"
)

// answerGrace, in milliseconds, is how much longer than the deadline a serving node's own verdict on it is waited for.
const answerGrace = pomelo.Millis(50)

// delivery is one call on its way to one member.
type delivery struct {
	pool   *Pool
	member pomelo.Member
	call   pomelo.Call
	sent   pomelo.Millis
}

// Send carries one call to the member and returns its answer; a call that may have left is fenced before anything is said of it.
func (p *Pool) Send(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	if ctx.Err() != nil {
		return pomelo.Refuse(c.ID, ended(ctx, pomelo.RanNo))
	}
	late, cancel := p.withGrace(ctx)
	defer cancel()
	d := &delivery{pool: p, member: m, call: c, sent: p.clock.Now()}
	l, s, err := p.peer(m).open(late)
	if err != nil {
		return pomelo.Refuse(c.ID, lost(err, pomelo.RanNo))
	}
	defer l.leave(s)
	a, err := d.carry(late, s)
	if err == nil {
		l.hear()
		return a
	}
	defer cancelStream(s)
	if l.refused() {
		return pomelo.Refuse(c.ID, lost(err, pomelo.RanNo))
	}
	if pomelo.IsKind(err, pomelo.KindTooLarge) {
		return pomelo.Refuse(c.ID, pomelo.FaultOf(err))
	}
	if late.Err() != nil {
		return pomelo.Refuse(c.ID, ended(ctx, pomelo.RanUnknown))
	}
	return d.settle(ctx, late, err)
}

// carry returns an error when the call is in doubt, or KindTooLarge when it can't have left; the stream is reset only when the caller cancels.
func (d *delivery) carry(ctx context.Context, s *quic.Stream) (pomelo.Answer, error) {
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	if err := d.pool.codec.Write(s, pomelo.MessageCall, d.call.ID, d.call, d.call.Body); err != nil {
		return pomelo.Answer{}, err
	}
	return d.receive(s)
}

func (d *delivery) receive(s *quic.Stream) (pomelo.Answer, error) {
	var a pomelo.Answer
	if err := s.Close(); err != nil {
		return a, errors.Wrap(err, "end the request")
	}
	m, err := d.pool.codec.Read(s)
	if err != nil {
		// The fault's own kind and outcome are of the message, not of the call.
		return a, errors.Newf("read the answer: %v", err)
	}
	if err := d.pool.codec.Decode(m, &a); err != nil {
		return a, err
	}
	if m.Kind != pomelo.MessageAnswer || m.ID != d.call.ID || a.CallID != d.call.ID {
		return a, errors.New("the answer belongs to another call")
	}
	a.Body = m.Body
	return a, nil
}

// withGrace outlasts a deadline by the grace, but ends at once when the context is cancelled.
func (p *Pool) withGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	late, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			_ = p.clock.Sleep(late, answerGrace)
		}
		cancel()
	})
	return late, func() {
		stop()
		cancel()
	}
}
