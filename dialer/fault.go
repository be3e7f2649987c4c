package dialer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

func writeFault(err error) *pomelo.Fault {
	if pomelo.IsKind(err, pomelo.KindTooLarge) {
		return pomelo.FaultOf(err)
	}
	return peerLost(err, pomelo.RanUnknown)
}

// contextFault returns the fault of a call whose context has ended: KindDeadline or KindCanceled.
func contextFault(ctx context.Context, ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindCanceled, "the call was given up before its answer came", "ask whether it ran before repeating it")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f = pomelo.NewFault(pomelo.KindDeadline, "the call's time ran out before its answer came", "allow more time, and ask whether it ran before repeating it")
		f.RetryAfter = inDoubtRetryAfter
	}
	f.Ran = ran
	return f
}

func peerLost(err error, ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindPeerLost, "the serving node can't be reached: "+err.Error(), "repeat the request if it did not run or is idempotent")
	f.Ran = ran
	return f
}
