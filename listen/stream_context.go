package listen

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/quic-go/quic-go"
)

// streamContext returns a context that ends with the stream or its parent; its cause is KindCanceled if the peer reset the stream, and KindPeerLost if the connection was lost.
func streamContext(parent context.Context, st *quic.Stream) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(st.Context(), func() { cancel(cancelCause(context.Cause(st.Context()))) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func cancelCause(err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) {
		return pomelo.NewFault(pomelo.KindCanceled, "the caller cancelled the call", "send it again if it is still wanted")
	}
	return pomelo.NewFault(pomelo.KindPeerLost, "the caller's connection was lost", "ask over a new connection")
}
