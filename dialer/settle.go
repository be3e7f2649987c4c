package dialer

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds of settling a call in doubt.
const (
	// settleLimit bounds the time without any connection to the node.
	settleLimit  = pomelo.Millis(2_000)
	settlePause  = pomelo.Millis(50)
	doubtRetryIn = pomelo.Millis(1_000)
	// settleAttempts bounds the answers that are lost over new connections.
	settleAttempts = 8
)

// settle asks the member over a new connection what became of the call; doubt is why it has to.
func (d *delivery) settle(ctx, late context.Context, doubt error) pomelo.Answer {
	end := d.pool.clock.Now() + settleLimit
	if !d.call.NonIdempotent && !d.pool.peer(d.member).reachable() {
		return d.unknown(d.doubt(doubt))
	}
	for left := settleAttempts; ; {
		a, reached, err := d.fence(late)
		if err == nil {
			return d.verdict(a)
		}
		now := d.pool.clock.Now()
		if reached {
			end = now + settleLimit
			left--
		}
		if late.Err() != nil {
			return d.unknown(ended(ctx, pomelo.RanUnknown))
		}
		if now >= end || left == 0 || !d.call.NonIdempotent {
			return d.unknown(d.doubt(doubt))
		}
		_ = d.pool.clock.Sleep(late, settlePause)
	}
}

// fence reports as well whether a connection to the member came about.
func (d *delivery) fence(ctx context.Context) (pomelo.Answer, bool, error) {
	l, s, err := d.pool.peer(d.member).open(ctx)
	if err != nil {
		return pomelo.Answer{}, false, err
	}
	defer l.leave(s)
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	q := pomelo.FenceRequest{ID: d.call.ID, Idempotent: !d.call.NonIdempotent}
	if err := d.pool.codec.Write(s, pomelo.MessageFence, d.call.ID, q, nil); err != nil {
		return pomelo.Answer{}, true, err
	}
	a, err := d.receive(s)
	if err == nil {
		l.hear()
	}
	return a, true, err
}

// verdict trusts "not run" only while the node can't have forgotten the call.
func (d *delivery) verdict(a pomelo.Answer) pomelo.Answer {
	if a.Refusal == nil {
		d.pool.metrics.Count("fence.answered", 1)
		return a
	}
	f := *a.Refusal
	a.Refusal = &f
	if d.pool.clock.Now()-d.sent >= pomelo.FenceRetention && f.Ran == pomelo.RanNo {
		f.Ran = pomelo.RanUnknown
	}
	if f.Kind == pomelo.KindCanceled && !d.call.NonIdempotent {
		// The loss of the connection cancelled it, not the caller.
		f.Kind = pomelo.KindPeerLost
	}
	d.pool.metrics.Count("fence.ran_"+string(f.Ran), 1)
	return a
}

func (d *delivery) doubt(err error) *pomelo.Fault {
	if !d.call.NonIdempotent {
		return lost(err, pomelo.RanUnknown)
	}
	f := pomelo.NewFault(pomelo.KindInDoubt, "the serving node can't be reached to tell what became of the call: "+err.Error(), "ask for its outcome, or repeat it with the same "+pomelo.HeaderIdempotency)
	f.Ran = pomelo.RanUnknown
	f.RetryAfter = doubtRetryIn
	return f
}

func (d *delivery) unknown(f *pomelo.Fault) pomelo.Answer {
	d.pool.metrics.Count("fence.ran_unknown", 1)
	return pomelo.Refuse(d.call.ID, f)
}
