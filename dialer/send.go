package dialer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/hold"
)

// answerGrace is the time after the deadline, in milliseconds, for which the serving node's own answer to a timed-out call is still awaited.
const answerGrace = pomelo.Millis(50)

// longAnswerBytes is the size of an answer from which it waits for memory.
const longAnswerBytes = 64 << 10

// delivery is one attempt to send a call to a member.
type delivery struct {
	pool   *Pool
	member pomelo.Member
	call   pomelo.Call
	sentAt pomelo.Millis
}

// Send sends the call to the member and returns its answer; a call that may have been sent and has no answer is fenced before it is refused, unless ctx has ended.
func (p *Pool) Send(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	if ctx.Err() != nil {
		return pomelo.Refuse(c.ID, contextFault(ctx, pomelo.RanNo))
	}
	graceCtx, cancel := p.withGrace(ctx)
	defer cancel()
	d := &delivery{pool: p, member: m, call: c, sentAt: p.clock.Now()}
	pc, s, err := p.peer(m).openStream(graceCtx)
	if err != nil {
		return pomelo.Refuse(c.ID, peerLost(err, pomelo.RanNo))
	}
	defer pc.removeStream(s)
	o := &observedStream{Stream: s}
	a, err := d.roundTrip(graceCtx, o)
	if err == nil {
		pc.recordAnswer()
		return a
	}
	defer cancelStream(s)
	if pc.handshakeRejected(o.err) {
		return pomelo.Refuse(c.ID, peerLost(err, pomelo.RanNo))
	}
	if pomelo.IsKind(err, pomelo.KindTooLarge) {
		return pomelo.Refuse(c.ID, pomelo.FaultOf(err))
	}
	if graceCtx.Err() != nil {
		return pomelo.Refuse(c.ID, contextFault(ctx, pomelo.RanUnknown))
	}
	return d.resolve(ctx, graceCtx, err)
}

// roundTrip sends the call and reads its answer; after an error the call is in doubt, except that a call with KindTooLarge was not sent. The stream is reset only when the caller cancels.
func (d *delivery) roundTrip(ctx context.Context, s *observedStream) (pomelo.Answer, error) {
	stop := context.AfterFunc(ctx, func() { cancelStream(s.Stream) })
	defer stop()
	if err := d.pool.codec.Write(s, pomelo.MessageCall, d.call.ID, d.call, d.call.Body); err != nil {
		return pomelo.Answer{}, err
	}
	return d.readAnswer(ctx, s)
}

// readAnswer ends the request on the stream and reads the answer; a long one waits for its memory, which counts as that of the request.
func (d *delivery) readAnswer(ctx context.Context, s *observedStream) (pomelo.Answer, error) {
	var a pomelo.Answer
	if err := s.Close(); err != nil {
		return a, errors.Wrap(err, "end the request")
	}
	memory := hold.FromContext(ctx)
	m, err := d.pool.codec.ReadCounted(s, func(_ pomelo.MessageKind, n int64) error {
		if n > longAnswerBytes {
			return memory.Await(ctx, n)
		}
		memory.Add(n)
		return nil
	})
	if err != nil {
		// Not wrapped: the error's fault is about the message, not about the call.
		return a, errors.Newf("read the answer: %v", err)
	}
	if err := d.pool.codec.Decode(m, &a); err != nil {
		return a, err
	}
	if m.Kind != pomelo.MessageAnswer || m.ID != d.call.ID || a.CallID != d.call.ID {
		return a, errors.New("the answer belongs to another call")
	}
	a.Body = m.Body
	return refuseInvalid(a), nil
}

// refuseInvalid replaces an answer whose head is not valid HTTP, as a node of an earlier version passes it on.
func refuseInvalid(a pomelo.Answer) pomelo.Answer {
	if a.Refusal != nil {
		return a
	}
	if err := pomelo.ValidateHead(a.Status, a.Header); err != nil {
		a.Refusal = pomelo.NewFault(pomelo.KindUpstreamFailed, "the upstream gave no whole answer: "+err.Error(), "repeat the request if it is idempotent")
		a.Refusal.Ran = pomelo.RanUnknown
	}
	return a
}

// withGrace returns a context that ends answerGrace after the deadline of ctx, or at once when ctx is cancelled.
func (p *Pool) withGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	graceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			_ = p.clock.Sleep(graceCtx, answerGrace)
		}
		cancel()
	})
	return graceCtx, func() {
		stop()
		cancel()
	}
}
