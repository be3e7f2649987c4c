package inlet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/stack"
)

const (
	// maxPipelined bounds the requests of one connection that are handled concurrently.
	maxPipelined = 32
	// writeTimeout bounds the write of one reply, for a caller that does not read it.
	writeTimeout    = pomelo.Millis(20_000)
	readBufferBytes = 4 << 10
	// retryAfterSeconds is the time after which the memory for bodies is free again: most bodies arrive within it.
	retryAfterSeconds = "1"
)

// conn is one caller's connection; one goroutine reads its requests, another writes the replies in order.
type conn struct {
	net.Conn
	server   *Server
	ctx      context.Context
	cancel   context.CancelFunc
	input    *limitedReader
	reader   *bufio.Reader
	pipeline chan *pendingReply
	// requestStarted is set once bytes of the next request have arrived; only the reading goroutine uses it.
	requestStarted bool
	mu             sync.Mutex
	inFlight       int
	// closing is set once the connection is to be closed after the requests that have arrived.
	closing bool
	// hasLastReply is set once a reply says that it is the connection's last, so that the caller repeats later requests on another one.
	hasLastReply bool
}

// pendingReply holds the place of one reply in the connection's order.
type pendingReply struct {
	reply chan pomelo.Reply
	// noBody is set for a HEAD request, whose reply is sent without its body.
	noBody bool
	close  bool
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	l := &limitedReader{Reader: c}
	return &conn{
		Conn:     c,
		server:   s,
		ctx:      ctx,
		cancel:   cancel,
		input:    l,
		reader:   bufio.NewReaderSize(l, readBufferBytes),
		pipeline: make(chan *pendingReply, maxPipelined),
	}
}

func (c *conn) serve() {
	go c.writeReplies()
	c.readRequests()
	close(c.pipeline)
}

// readRequests reads and dispatches requests until one of them is the connection's last or reading fails.
func (c *conn) readRequests() {
	for !c.lastReplyKnown() {
		r, body, err := c.readRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		c.dispatch(r, body)
	}
	// No more requests are accepted, but the caller's close must still cancel the running ones.
	c.discardInput()
}

func (c *conn) lastReplyKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasLastReply
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readRequest reads one request with its complete body.
func (c *conn) readRequest() (*http.Request, []byte, error) {
	l := c.server.currentLimits()
	c.input.remaining = int64(l.HeadBytes + readBufferBytes)
	c.requestStarted = false
	if err := c.awaitRequest(l); err != nil {
		return nil, nil, err
	}
	c.requestStarted = true
	_ = c.SetReadDeadline(time.Now().Add(l.HeadTimeout.Duration()))
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	if r.ContentLength > int64(l.BodyBytes) {
		return nil, nil, bodyTooLarge()
	}
	c.input.remaining = int64(l.BodyBytes) + int64(l.HeadBytes)
	if r.Header.Get("Expect") != "" && r.ContentLength != 0 {
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	body, err := c.server.budget.ReadAll(http.MaxBytesReader(nil, r.Body, int64(l.BodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, nil, bodyTooLarge()
	}
	return r, body, err
}

// awaitRequest waits for the first byte of a request; the idle timeout does not apply while requests are in flight.
func (c *conn) awaitRequest(l pomelo.TrafficLimits) error {
	for {
		c.setIdleDeadline(l.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err != nil && c.input.timedOut && c.hasInFlight() {
			continue
		}
		return err
	}
}

// setIdleDeadline bounds the wait for a request, unless closeIdle has ended it.
func (c *conn) setIdleDeadline(d pomelo.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		_ = c.SetReadDeadline(time.Now().Add(d.Duration()))
	}
}

func (c *conn) hasInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// dispatch runs the handler for a request; while the node drains or the connection closes, the request is the connection's last.
func (c *conn) dispatch(r *http.Request, body []byte) {
	s := &pendingReply{reply: make(chan pomelo.Reply, 1), noBody: r.Method == http.MethodHead}
	c.mu.Lock()
	if c.hasLastReply {
		c.mu.Unlock()
		return
	}
	c.inFlight++
	c.closing = c.closing || r.Close || c.server.draining.Load()
	c.hasLastReply = c.closing
	s.close = c.closing
	c.mu.Unlock()
	c.server.pending.Add(1)
	c.pipeline <- s
	go func() {
		stack.Grow()
		ctx, cancel := context.WithCancel(c.ctx)
		defer cancel()
		defer context.AfterFunc(c.server.requestContext, cancel)()
		reply := pomelo.Reply{Status: http.StatusBadGateway, Header: http.Header{}, Close: true}
		c.server.guard.Run("request", "", func() { reply = c.server.handler(ctx, r, body) })
		s.reply <- reply
	}()
}

// handleReadError refuses an invalid or oversized request, and cancels all running requests when the caller has closed the connection.
func (c *conn) handleReadError(err error) {
	var f *pomelo.Fault
	switch {
	case errors.As(err, &f):
		c.refuse(http.StatusRequestEntityTooLarge)
	case errors.Is(err, budget.ErrExhausted), errors.Is(err, budget.ErrBodyTooLarge):
		c.server.metrics.Count("inlet.bodies_refused", 1)
		c.refuse(http.StatusServiceUnavailable)
	case errors.Is(err, errHeadTooLarge):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case c.input.timedOut:
		c.handleTimeout()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		c.cancel()
	default:
		c.refuse(http.StatusBadRequest)
	}
}

// handleTimeout refuses an incomplete request with status 408; an idle connection closes without a reply.
func (c *conn) handleTimeout() {
	if !c.requestStarted {
		return
	}
	c.refuse(http.StatusRequestTimeout)
}

// refuse queues an empty reply with the status, after which the connection closes.
func (c *conn) refuse(status int) {
	c.server.metrics.Count("inlet.refused."+strconv.Itoa(status), 1)
	c.server.log.Info("request_not_read", "caller", c.RemoteAddr(), "status", status)
	s := &pendingReply{reply: make(chan pomelo.Reply, 1), close: true}
	c.mu.Lock()
	c.inFlight++
	c.closing = true
	c.hasLastReply = true
	c.mu.Unlock()
	c.server.pending.Add(1)
	h := http.Header{}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	s.reply <- pomelo.Reply{Status: status, Header: h}
	c.pipeline <- s
}

func isNetworkError(err error) bool {
	var n *net.OpError
	return errors.As(err, &n)
}

// discardInput waits for the caller's close and discards requests that arrive after the last accepted one.
func (c *conn) discardInput() {
	_ = c.SetReadDeadline(time.Time{})
	var b [512]byte
	for {
		if _, err := c.Conn.Read(b[:]); err != nil {
			c.cancel()
			return
		}
	}
}

// writeReplies sends the replies in the order of their requests, and shuts the connection down after the last one or a failed write.
func (c *conn) writeReplies() {
	defer c.shutDown()
	for s := range c.pipeline {
		last, ok := c.reply(s)
		// A stopping node waits for the end of the write, which a caller that reads slowly delays.
		c.server.pending.Add(-1)
		if !ok || last {
			return
		}
	}
}

// reply awaits one reply and writes it; it returns whether the reply is the connection's last, and false if it was not delivered.
func (c *conn) reply(s *pendingReply) (last, ok bool) {
	r, ok := c.awaitReply(s)
	if !ok {
		return false, false
	}
	last = s.close || r.Close || c.server.draining.Load() && c.tryMarkClosing()
	if err := c.writeReply(r, s.noBody, last); err != nil {
		c.server.log.Info("answer_not_delivered", "status", r.Status, "error", err.Error())
		return last, false
	}
	c.mu.Lock()
	c.inFlight--
	c.mu.Unlock()
	return last, true
}

// awaitReply waits for the reply; it returns false once the caller has closed the connection.
func (c *conn) awaitReply(s *pendingReply) (pomelo.Reply, bool) {
	select {
	case r := <-s.reply:
		return r, true
	case <-c.ctx.Done():
		return pomelo.Reply{}, false
	}
}

// tryMarkClosing marks the connection as closing unless other requests than the current one are in flight.
func (c *conn) tryMarkClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 1 {
		return false
	}
	c.closing = true
	c.hasLastReply = true
	return true
}

// shutDown cancels the unanswered requests and closes the connection.
func (c *conn) shutDown() {
	c.cancel()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	c.waitBeforeClose()
	_ = c.Close()
	c.server.removeConn(c)
	for range c.pipeline {
		c.server.pending.Add(-1)
	}
}

// closeGracePeriod is the delay before the connection is closed: a close with unread input resets it, and the caller can lose the last reply.
const closeGracePeriod = pomelo.Millis(300)

// waitBeforeClose sets a read deadline that ends the reading goroutine, and waits for closeGracePeriod if the connection is closing.
func (c *conn) waitBeforeClose() {
	_ = c.SetReadDeadline(time.Now().Add(closeGracePeriod.Duration()))
	if c.isClosing() {
		_ = c.server.clock.Sleep(context.Background(), closeGracePeriod)
	}
}

// closeIdle closes the connection if no request is in flight: a read deadline in the past makes the reader return.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 {
		c.closing = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) writeReply(r pomelo.Reply, noBody, closeAfter bool) error {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(err, "write the head")
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !noBody {
		b.Write(r.Body)
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	_, err := c.Write(b.Bytes())
	return err
}

func bodyTooLarge() error {
	return pomelo.NewFault(pomelo.KindTooLarge, "the body is over the limit", "send a smaller body")
}
