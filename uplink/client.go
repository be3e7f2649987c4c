package uplink

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/hold"
)

// Times in milliseconds, and bytes.
const (
	// dialTimeout is short because the upstream is on the same machine.
	dialTimeout = pomelo.Millis(500)
	// defaultIdleTimeout is for upstreams whose responses state no limit.
	defaultIdleTimeout = pomelo.Millis(4_000)
	// idleMargin is the time, in milliseconds, before the upstream's idle limit from which a connection is no longer reused.
	idleMargin = pomelo.Millis(1_000)
	// maxResponses limits the responses read for one call, with interim ones and those to other calls.
	maxResponses = 8
	// maxHeadBytes limits the heads of all responses read for one call.
	maxHeadBytes = 64 << 10
	// maxStrayBytes limits the bodies of responses to other calls that are read and discarded for one call.
	maxStrayBytes      = 1 << 20
	defaultBudgetBytes = 32 << 20
)

// Client sends calls to one upstream at a time.
type Client struct {
	dialect pomelo.Dialect
	clock   pomelo.Clock
	metrics pomelo.Metrics
	budget  *budget.Budget
	pool    pool
	// onResponse is called with the head of each response that belongs to its call.
	onResponse func(pomelo.Instance, pomelo.ResponseInfo)
	// onSkipped is called with a call that waits on after a response that is not its own.
	onSkipped func(pomelo.Call, pomelo.Exchange)
	// onRejected is called with a call that the upstream states it has not run.
	onRejected func(pomelo.Call, pomelo.Exchange)
	// onRefused is called when the upstream's address has refused a connection.
	onRefused func(pomelo.Instance)
}

// New returns a client that connects on demand.
func New(dialect pomelo.Dialect, clock pomelo.Clock, metrics pomelo.Metrics, opts ...func(*Client)) *Client {
	cl := &Client{dialect: dialect, clock: clock, metrics: metrics, budget: budget.New(defaultBudgetBytes), onResponse: func(pomelo.Instance, pomelo.ResponseInfo) {}, onSkipped: func(pomelo.Call, pomelo.Exchange) {}, onRejected: func(pomelo.Call, pomelo.Exchange) {}, onRefused: func(pomelo.Instance) {}}
	for _, o := range opts {
		o(cl)
	}
	return cl
}

// WithBudget sets the budget for the bodies of responses.
func WithBudget(b *budget.Budget) func(*Client) {
	return func(cl *Client) { cl.budget = b }
}

// OnResponse sets the function that is called with the head of each response that belongs to its call, before its body is read; it must be called before Do.
func (cl *Client) OnResponse(f func(pomelo.Instance, pomelo.ResponseInfo)) {
	cl.onResponse = f
}

// OnSkipped sets the function that is called with a call and a response on its connection that is not its own; it must be called before Do.
func (cl *Client) OnSkipped(f func(pomelo.Call, pomelo.Exchange)) {
	cl.onSkipped = f
}

// OnRejected sets the function that is called with a call and the response that states that it did not run; it must be called before Do.
func (cl *Client) OnRejected(f func(pomelo.Call, pomelo.Exchange)) {
	cl.onRejected = f
}

// OnRefused sets the function that is called when the upstream's address has refused a connection; it must be called before Do.
func (cl *Client) OnRefused(f func(pomelo.Instance)) {
	cl.onRefused = f
}

// Do sends the call to the upstream and reads its complete response; a refusal says whether the call may have run.
func (cl *Client) Do(ctx context.Context, u pomelo.Instance, c pomelo.Call) pomelo.Answer {
	if ctx.Err() != nil {
		return pomelo.Refuse(c.ID, contextFault(ctx, pomelo.RanNo))
	}
	conn, err := cl.connect(ctx, u, c.ID)
	if err != nil {
		return pomelo.Refuse(c.ID, unreachableFault(ctx, err))
	}
	e := &exchange{client: cl, conn: conn, call: c, upstream: u}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	a, reusable := e.run(ctx)
	if !stop() || !reusable {
		_ = conn.Close()
		return a
	}
	cl.pool.put(u.Address, conn)
	return a
}

// IsRefused reports whether the address refuses connections, as it does after its process has ended.
func (cl *Client) IsRefused(ctx context.Context, address string) bool {
	conn, err := dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes the idle connections.
func (cl *Client) Close() {
	cl.pool.get("", 0, "")
}

func (cl *Client) connect(ctx context.Context, u pomelo.Instance, id string) (*conn, error) {
	if idle := cl.pool.get(u.Address, cl.clock.Now(), id); idle != nil {
		return idle, nil
	}
	return cl.dial(ctx, u)
}

func (cl *Client) dial(ctx context.Context, u pomelo.Instance) (*conn, error) {
	cl.metrics.Count("uplink.dials", 1)
	c, err := dial(ctx, u.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		cl.onRefused(u)
	}
	return c, err
}

// exchange is the request and response of one call on one connection.
type exchange struct {
	client     *Client
	conn       *conn
	call       pomelo.Call
	upstream   pomelo.Instance
	sent       chan error
	unexpected bool
	// isFirst marks the first call of the connection.
	isFirst bool
}

func (e *exchange) describe(resp *http.Response, info pomelo.ResponseInfo) pomelo.Exchange {
	return pomelo.Exchange{Status: resp.StatusCode, Connection: e.conn.LocalAddr().String(), Calls: e.conn.calls, Unnamed: info.Unnamed}
}

// run returns the answer, and whether the connection may be reused.
func (e *exchange) run(ctx context.Context) (pomelo.Answer, bool) {
	head, err := e.requestHead()
	if err != nil {
		return pomelo.Refuse(e.call.ID, pomelo.NewFault(pomelo.KindBadRequest, err.Error(), "send a valid method, path and headers")), false
	}
	e.isFirst = e.conn.calls == 0
	e.conn.calls++
	e.send(head)
	resp, info, err := e.readResponse()
	if err != nil {
		return pomelo.Refuse(e.call.ID, incompleteFault(ctx, err)), false
	}
	e.client.onResponse(e.upstream, info)
	body, err := e.readBody(ctx, resp)
	if info.NotRun {
		e.client.onRejected(e.call, e.describe(resp, info))
		return pomelo.Refuse(e.call.ID, notRunFault(info)), err == nil && !info.Unnamed && e.isReusable(resp) && e.conn.recordRejection(e.call.ID, e.call.Deadline, e.client.clock.Now())
	}
	if err != nil {
		return pomelo.Refuse(e.call.ID, incompleteFault(ctx, err)), false
	}
	a := pomelo.Answer{CallID: e.call.ID, Status: resp.StatusCode, Header: pomelo.EndToEndHeaders(resp.Header), Body: body}
	return a, e.isReusable(resp)
}

// readBody reads the body, whose memory counts as that of the request, and checks the trailer, which is not passed on.
func (e *exchange) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	memory := hold.FromContext(ctx)
	if memory == nil {
		memory = hold.New(e.client.budget)
		defer memory.Release()
	}
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0
	}
	body, err := memory.ReadAnswer(ctx, resp.Body, length, e.client.budget.BodyLimit())
	if err != nil {
		return nil, err
	}
	return body, pomelo.ValidateFields(resp.Trailer)
}

// isReusable reports whether the request was sent completely, no other response arrived, and the upstream keeps the connection open.
func (e *exchange) isReusable(resp *http.Response) bool {
	select {
	case err := <-e.sent:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if resp.Close || e.unexpected || e.conn.hasUnread() {
		return false
	}
	e.conn.reusableUntil = e.client.clock.Now() + idleTimeout(resp.Header)
	return true
}

// send writes a long request in the background, since the upstream may respond before it has read the body.
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

// readResponse skips interim responses and responses to other calls.
func (e *exchange) readResponse() (*http.Response, pomelo.ResponseInfo, error) {
	r := &http.Request{Method: e.call.Method}
	headBytes, strayBytes := int64(maxHeadBytes), int64(maxStrayBytes)
	for range maxResponses {
		resp, left, err := e.conn.readHead(r, headBytes)
		if err != nil {
			return nil, pomelo.ResponseInfo{}, err
		}
		headBytes = left
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := e.client.dialect.DecodeResponse(e.call, resp.StatusCode, resp.Header)
		if e.belongs(info) {
			return resp, info, nil
		}
		e.unexpected = true
		e.client.metrics.Count("uplink.stray_answers", 1)
		e.client.onSkipped(e.call, e.describe(resp, info))
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes+1))
		if err != nil {
			return nil, info, err
		}
		if strayBytes -= n; strayBytes < 0 {
			return nil, info, errors.New("the upstream's answers to other calls are too long")
		}
	}
	return nil, pomelo.ResponseInfo{}, errors.New("the upstream answered only other calls")
}

// belongs reports whether the response is that of the call. One that names no call is so only if it is the connection's first, since it may repeat that of an earlier call.
func (e *exchange) belongs(info pomelo.ResponseInfo) bool {
	if info.Unnamed && !info.Mismatched && (!e.isFirst || e.unexpected) {
		e.client.metrics.Count("uplink.unnamed_rejections", 1)
		return false
	}
	return !info.Mismatched
}

func (e *exchange) requestHead() ([]byte, error) {
	left := e.call.Deadline - e.client.clock.Now()
	h := e.client.dialect.UpstreamHeader(e.call, e.upstream.ID, max(left, 1))
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

// idleTimeout returns how long the connection may stay idle by the response's Keep-Alive header, less idleMargin.
func idleTimeout(h http.Header) pomelo.Millis {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n >= 0 {
			return pomelo.Millis(n)*1000 - idleMargin
		}
	}
	return defaultIdleTimeout
}

func unreachableFault(ctx context.Context, err error) *pomelo.Fault {
	if ctx.Err() != nil {
		return contextFault(ctx, pomelo.RanNo)
	}
	f := pomelo.NewFault(pomelo.KindNoUpstream, "the upstream takes no connections: "+err.Error(), "send the request to another upstream")
	f.RetryAfter = pomelo.Millis(500)
	return f
}

func notRunFault(info pomelo.ResponseInfo) *pomelo.Fault {
	if info.UpstreamReplaced {
		return pomelo.NewFault(pomelo.KindNoUpstream, "another upstream has the address", "send the request to another upstream")
	}
	f := pomelo.NewFault(pomelo.KindOverload, "the upstream turned the call away", "come back after the given time")
	f.RetryAfter = max(info.RetryAfter, pomelo.Millis(200))
	return f
}

func incompleteFault(ctx context.Context, err error) *pomelo.Fault {
	if ctx.Err() != nil {
		return contextFault(ctx, pomelo.RanUnknown)
	}
	f := pomelo.NewFault(pomelo.KindUpstreamFailed, "the upstream gave no whole answer: "+pomelo.ErrorText(err), "repeat the request if it is idempotent")
	f.Ran = pomelo.RanUnknown
	return f
}

func contextFault(ctx context.Context, ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindCanceled, "the call was cancelled at the upstream", "ask whether it ran before repeating it")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f = pomelo.NewFault(pomelo.KindDeadline, "the call's time ran out at the upstream", "allow more time")
	}
	f.Ran = ran
	return f
}
