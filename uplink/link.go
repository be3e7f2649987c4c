package uplink

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds, and bytes.
const (
	// dialTimeout is for an upstream on the same machine.
	dialTimeout = pomelo.Millis(500)
	// idleDefault is for upstreams that don't announce their own limit.
	idleDefault = pomelo.Millis(4_000)
	// idleMargin is how much before the upstream's limit a connection is used last.
	idleMargin = pomelo.Millis(1_000)
	// strayMost bounds the answers to other calls that are passed over.
	strayMost        = 8
	defaultBodyLimit = 64 << 20
)

// Link carries calls to one upstream at a time.
type Link struct {
	dialect   pomelo.Dialect
	clock     pomelo.Clock
	metrics   pomelo.Metrics
	bodyLimit int64
	pool      pool
}

// New returns a link that connects on demand.
func New(dialect pomelo.Dialect, clock pomelo.Clock, metrics pomelo.Metrics, opts ...func(*Link)) *Link {
	l := &Link{dialect: dialect, clock: clock, metrics: metrics, bodyLimit: defaultBodyLimit}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Do sends the call to the upstream and reads its whole answer; a refusal says whether the call can have run.
func (l *Link) Do(ctx context.Context, u pomelo.Instance, c pomelo.Call) pomelo.Answer {
	if ctx.Err() != nil {
		return pomelo.Refuse(c.ID, givenUp(ctx, pomelo.RanNo))
	}
	k, err := l.connect(ctx, u.Address)
	if err != nil {
		return pomelo.Refuse(c.ID, unreachable(ctx, err))
	}
	e := &exchange{link: l, conn: k, call: c, upstream: u}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	a, keep := e.run(ctx)
	if !stop() || !keep {
		_ = k.Close()
		return a
	}
	l.pool.put(u.Address, k)
	return a
}

// Close drops the kept connections.
func (l *Link) Close() {
	l.pool.take("", 0)
}

func (l *Link) connect(ctx context.Context, address string) (*conn, error) {
	if k := l.pool.take(address, l.clock.Now()); k != nil {
		return k, nil
	}
	l.metrics.Count("uplink.dials", 1)
	return dial(ctx, address)
}

// exchange is one call on one connection.
type exchange struct {
	link     *Link
	conn     *conn
	call     pomelo.Call
	upstream pomelo.Instance
	sent     chan error
	stray    bool
}

// run returns the answer, and whether the connection may be used again.
func (e *exchange) run(ctx context.Context) (pomelo.Answer, bool) {
	head, err := e.head()
	if err != nil {
		return pomelo.Refuse(e.call.ID, pomelo.NewFault(pomelo.KindBadRequest, err.Error(), "send a valid method, path and headers")), false
	}
	e.send(head)
	resp, err := e.receive()
	if err != nil {
		return pomelo.Refuse(e.call.ID, broken(ctx, err)), false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, e.link.bodyLimit+1))
	if err == nil && int64(len(body)) > e.link.bodyLimit {
		err = errors.New("the answer is over the body limit")
	}
	v := e.link.dialect.DecodeResponse(e.call, resp.StatusCode, resp.Header)
	if v.NotRun {
		return pomelo.Refuse(e.call.ID, notRun(v)), err == nil && e.mayKeep(resp)
	}
	if err != nil {
		return pomelo.Refuse(e.call.ID, broken(ctx, err)), false
	}
	a := pomelo.Answer{CallID: e.call.ID, Status: resp.StatusCode, Header: pomelo.EndToEndHeaders(resp.Header), Body: body}
	return a, e.mayKeep(resp)
}

// mayKeep is false unless the call was sent whole, its answer was the only one, and the upstream keeps the connection.
func (e *exchange) mayKeep(resp *http.Response) bool {
	select {
	case err := <-e.sent:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if resp.Close || e.stray || e.conn.reader.Buffered() > 0 {
		return false
	}
	e.conn.until = e.link.clock.Now() + idleOf(resp.Header)
	return true
}

// send writes in the background where the body may be answered before it is read.
func (e *exchange) send(head []byte) {
	e.sent = make(chan error, 1)
	if len(e.call.Body) <= bufferBytes {
		_, err := e.conn.Write(append(head, e.call.Body...))
		e.sent <- err
		return
	}
	go func() {
		_, err := e.conn.Write(head)
		if err == nil {
			_, err = e.conn.Write(e.call.Body)
		}
		e.sent <- err
	}()
}

// receive passes over interim answers and those to other calls.
func (e *exchange) receive() (*http.Response, error) {
	r := &http.Request{Method: e.call.Method}
	for range strayMost {
		resp, err := http.ReadResponse(e.conn.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !e.link.dialect.DecodeResponse(e.call, resp.StatusCode, resp.Header).Mismatched {
			return resp, nil
		}
		e.stray = true
		e.link.metrics.Count("uplink.stray_answers", 1)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("the upstream answered only other calls")
}

func (e *exchange) head() ([]byte, error) {
	left := e.call.Deadline - e.link.clock.Now()
	h := e.link.dialect.UpstreamHeader(e.call, e.upstream.ID, max(left, 1))
	if strings.ContainsAny(e.call.Method+e.call.Path+e.call.Host, " \r\n") {
		return nil, errors.New("the method, path or host holds a character that is not allowed")
	}
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	_, _ = w.WriteString(e.call.Method + " " + e.call.Path + " HTTP/1.1\r\nHost: " + e.call.Host + "\r\n")
	if len(e.call.Body) > 0 || e.call.Method != http.MethodGet && e.call.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(e.call.Body)) + "\r\n")
	}
	if err := h.Write(w); err != nil {
		return nil, errors.Wrap(err, "write the head")
	}
	_, _ = w.WriteString("\r\n")
	err := w.Flush()
	return b.Bytes(), errors.Wrap(err, "write the head")
}

// idleOf is how long the connection may stay idle by the answer's Keep-Alive, less a margin.
func idleOf(h http.Header) pomelo.Millis {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n >= 0 {
			return pomelo.Millis(n)*1000 - idleMargin
		}
	}
	return idleDefault
}

func unreachable(ctx context.Context, err error) *pomelo.Fault {
	if ctx.Err() != nil {
		return givenUp(ctx, pomelo.RanNo)
	}
	f := pomelo.NewFault(pomelo.KindNoUpstream, "the upstream takes no connections: "+err.Error(), "send the request to another upstream")
	f.RetryAfter = pomelo.Millis(500)
	return f
}

func notRun(v pomelo.ResponseInfo) *pomelo.Fault {
	if v.UpstreamReplaced {
		return pomelo.NewFault(pomelo.KindNoUpstream, "another upstream has the address", "send the request to another upstream")
	}
	f := pomelo.NewFault(pomelo.KindOverload, "the upstream turned the call away", "come back after the given time")
	f.RetryAfter = max(v.RetryAfter, pomelo.Millis(200))
	return f
}

func broken(ctx context.Context, err error) *pomelo.Fault {
	if ctx.Err() != nil {
		return givenUp(ctx, pomelo.RanUnknown)
	}
	f := pomelo.NewFault(pomelo.KindUpstreamFailed, "the upstream gave no whole answer: "+err.Error(), "repeat the request if it is idempotent")
	f.Ran = pomelo.RanUnknown
	return f
}

func givenUp(ctx context.Context, ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindCanceled, "the call was cancelled at the upstream", "ask whether it ran before repeating it")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f = pomelo.NewFault(pomelo.KindDeadline, "the call's time ran out at the upstream", "allow more time")
	}
	f.Ran = ran
	return f
}
