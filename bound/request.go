package bound

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/hold"
)

const (
	// memoryRetryAfter is the time in which memory becomes free, in milliseconds.
	memoryRetryAfter = pomelo.Millis(1_000)
	// deadlineInterval is the least time between two extensions of a body's deadline.
	deadlineInterval = time.Second
)

type contextKey struct{}

// exchange is one request and its response.
type exchange struct {
	conn       *conn
	controller *http.ResponseController
	// deadlineAt is the time at which the deadline of the body was set last.
	deadlineAt time.Time
}

// Handler has the requests of h read their bodies, and write their responses, only as long as they make progress.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(contextKey{}).(*conn)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		x := &exchange{conn: c, controller: http.NewResponseController(w)}
		defer c.change(&c.reading, -1)
		if !c.change(&c.reading, 1) {
			return
		}
		x.extend()
		memory := c.addRequest(hold.OfFields(r.Header))
		defer c.removeRequest(memory)
		ctx := context.WithValue(hold.NewContext(r.Context(), memory), exchangeKey{}, x)
		r = r.WithContext(ctx)
		r.Body = &progressBody{ReadCloser: r.Body, exchange: x}
		h.ServeHTTP(w, r)
	})
}

type exchangeKey struct{}

func exchangeOf(ctx context.Context) *exchange {
	x, _ := ctx.Value(exchangeKey{}).(*exchange)
	return x
}

// extend gives the body the time for progress.
func (x *exchange) extend() {
	now := time.Now()
	if now.Sub(x.deadlineAt) < deadlineInterval {
		return
	}
	x.deadlineAt = now
	_ = x.controller.SetReadDeadline(now.Add(x.conn.listener.stallTimeout.Duration()))
}

// progressBody extends the deadline of a body with each read.
type progressBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	b.exchange.extend()
	return b.ReadCloser.Read(p)
}

// ReadBody reads the request's body of at most limit bytes, whose memory is counted; the error is a *pomelo.Fault if the body is too large or there is no memory for it.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	b, err := hold.FromContext(r.Context()).ReadRequest(r.Body, r.ContentLength, limit)
	if errors.Is(err, budget.ErrBodyTooLarge) {
		return nil, pomelo.NewFault(pomelo.KindTooLarge, "the body is over the limit", "send a smaller body")
	}
	if errors.Is(err, budget.ErrExhausted) {
		f := pomelo.NewFault(pomelo.KindOverload, "the node has no memory for the body", "come back after the given time")
		f.RetryAfter = memoryRetryAfter
		return nil, f
	}
	return b, err
}

// Run calls f for a request that was read, whose connection is kept meanwhile; it returns false if the connection is closed already, so that f must not run.
func Run(ctx context.Context, f func()) bool {
	x := exchangeOf(ctx)
	if x == nil {
		f()
		return true
	}
	if !x.conn.change(&x.conn.running, 1) {
		x.conn.change(&x.conn.running, -1)
		return false
	}
	_ = x.controller.SetReadDeadline(time.Time{})
	f()
	x.conn.change(&x.conn.running, -1)
	x.deadlineAt = time.Time{}
	x.extend()
	return true
}

// Write writes a response's body; a client that reads slowly has time as long as it makes progress.
func Write(ctx context.Context, w io.Writer, b []byte) error {
	x := exchangeOf(ctx)
	if x == nil {
		_, err := w.Write(b)
		return err
	}
	for len(b) > 0 {
		piece := b[:min(len(b), pieceBytes)]
		x.conn.change(&x.conn.writing, 1)
		_ = x.controller.SetWriteDeadline(time.Now().Add(x.conn.listener.stallTimeout.Duration()))
		_, err := w.Write(piece)
		x.conn.change(&x.conn.writing, -1)
		if err != nil {
			return err
		}
		b = b[len(piece):]
	}
	return nil
}
