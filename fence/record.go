package fence

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// record is the state of one call. The table's mutex guards the first group of fields, waitMu the second.
type record struct {
	id            string
	idempotent    bool
	done          chan struct{}
	answer        pomelo.Answer
	ran           pomelo.Ran
	answerDropped bool
	size          int
	sweep         int

	waitMu  sync.Mutex
	cancel  context.CancelCauseFunc
	waiters int
	lost    error
}

func newRecord(c pomelo.Call) *record {
	return &record{id: c.ID, idempotent: !c.NonIdempotent, done: make(chan struct{})}
}

// detach returns a context for running the call: it is cancelled when the caller cancels, but not when the caller's connection is lost, unless the call is idempotent and has no other waiter.
func (r *record) detach(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	r.waitMu.Lock()
	r.cancel = cancel
	r.waitMu.Unlock()
	stop := context.AfterFunc(ctx, func() { r.cancelUnlessWanted(context.Cause(ctx)) })
	return runCtx, func(err error) {
		stop()
		cancel(err)
	}
}

// addWaiter adds a waiter, which keeps an idempotent call running, and returns the function that removes it.
func (r *record) addWaiter(ctx context.Context) func() {
	r.waitMu.Lock()
	r.waiters++
	r.waitMu.Unlock()
	stop := context.AfterFunc(ctx, func() { r.cancelUnlessWanted(context.Cause(ctx)) })
	return func() {
		stop()
		r.waitMu.Lock()
		r.waiters--
		r.waitMu.Unlock()
	}
}

func (r *record) cancelUnlessWanted(cause error) {
	r.waitMu.Lock()
	defer r.waitMu.Unlock()
	if r.cancel == nil {
		return
	}
	wanted := !r.idempotent || r.waiters > 0
	if pomelo.IsKind(cause, pomelo.KindPeerLost) && wanted {
		return
	}
	r.cancel(cause)
}

func notStarted(id string) pomelo.Answer {
	f := pomelo.NewFault(pomelo.KindPeerLost, "the connection was lost before the call started, and it will not start any more", "send the request to another upstream")
	return pomelo.Refuse(id, f)
}

func inDoubt() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindInDoubt, "the serving node can't tell what became of the call", "ask for its outcome before repeating it")
	f.Ran = pomelo.RanUnknown
	return f
}

func lostIdempotent() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindPeerLost, "the serving node does not run the call", "repeat the request")
	f.Ran = pomelo.RanUnknown
	return f
}
