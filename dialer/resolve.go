package dialer

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Limits for resolving a call in doubt; times are in milliseconds.
const (
	// resolveTimeout limits the time without a connection to the serving node.
	resolveTimeout    = pomelo.Millis(2_000)
	resolveInterval   = pomelo.Millis(50)
	inDoubtRetryAfter = pomelo.Millis(1_000)
	// maxResolveAttempts limits the fence requests that reach a connection and get no answer.
	maxResolveAttempts = 8
)

// resolve asks the member over a new connection for the outcome of the call in doubt; cause is the error that left it in doubt.
func (d *delivery) resolve(ctx, graceCtx context.Context, cause error) pomelo.Answer {
	giveUpAt := d.pool.clock.Now() + resolveTimeout
	if !d.call.NonIdempotent && !d.pool.peer(d.member).isReachable() {
		return d.refuseUnknown(d.inDoubtFault(cause))
	}
	for remaining := maxResolveAttempts; ; {
		a, connected, err := d.fence(graceCtx)
		if err == nil {
			return d.resolved(a)
		}
		now := d.pool.clock.Now()
		if connected {
			giveUpAt = now + resolveTimeout
			remaining--
		}
		if graceCtx.Err() != nil {
			return d.refuseUnknown(contextFault(ctx, pomelo.RanUnknown))
		}
		if now >= giveUpAt || remaining == 0 || !d.call.NonIdempotent {
			return d.refuseUnknown(d.inDoubtFault(cause))
		}
		_ = d.pool.clock.Sleep(graceCtx, resolveInterval)
	}
}

// fence sends one fence request, and reports whether there was a connection to the member.
func (d *delivery) fence(ctx context.Context) (pomelo.Answer, bool, error) {
	c, s, err := d.pool.peer(d.member).openStream(ctx)
	if err != nil {
		return pomelo.Answer{}, false, err
	}
	defer c.removeStream(s)
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	q := pomelo.FenceRequest{ID: d.call.ID, Idempotent: !d.call.NonIdempotent}
	if err := d.pool.codec.Write(s, pomelo.MessageFence, d.call.ID, q, nil); err != nil {
		return pomelo.Answer{}, true, err
	}
	a, err := d.readAnswer(ctx, &observedStream{Stream: s})
	if err == nil {
		c.recordAnswer()
	}
	return a, true, err
}

// resolved returns the member's answer to a fence request; "not run" is trusted only while the member can't have forgotten the call.
func (d *delivery) resolved(a pomelo.Answer) pomelo.Answer {
	if a.Refusal == nil {
		d.pool.metrics.Count("fence.answered", 1)
		return a
	}
	f := *a.Refusal
	a.Refusal = &f
	if d.pool.clock.Now()-d.sentAt >= pomelo.FenceRetention && f.Ran == pomelo.RanNo {
		f.Ran = pomelo.RanUnknown
	}
	if f.Kind == pomelo.KindCanceled && !d.call.NonIdempotent {
		// The call was cancelled by the loss of the connection, not by the caller.
		f.Kind = pomelo.KindPeerLost
	}
	d.pool.metrics.Count("fence.ran_"+string(f.Ran), 1)
	return a
}

func (d *delivery) inDoubtFault(err error) *pomelo.Fault {
	if !d.call.NonIdempotent {
		return peerLost(err, pomelo.RanUnknown)
	}
	f := pomelo.NewFault(pomelo.KindInDoubt, "the serving node can't be reached to tell what became of the call: "+err.Error(), "ask for its outcome, or repeat it with the same "+pomelo.HeaderIdempotency)
	f.Ran = pomelo.RanUnknown
	f.RetryAfter = inDoubtRetryAfter
	return f
}

// refuseUnknown refuses the call with a fault that leaves open whether it ran.
func (d *delivery) refuseUnknown(f *pomelo.Fault) pomelo.Answer {
	d.pool.metrics.Count("fence.ran_unknown", 1)
	return pomelo.Refuse(d.call.ID, f)
}
