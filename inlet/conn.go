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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/hold"
	"github.com/pomeloworks/pomelo/stack"
)

const (
	// maxPipelined bounds the requests of one connection that are handled concurrently.
	maxPipelined    = 32
	readBufferBytes = 4 << 10
	// retryAfterSeconds is the time after which the memory for bodies is free again: most bodies arrive within it.
	retryAfterSeconds = "1"
	// progressBytes are the bytes of a request that must arrive to count as progress while memory is short.
	progressBytes = 16 << 10
	// pieceBytes are the bytes of a reply that must be read to count as progress.
	pieceBytes = 64 << 10
	// deadlineInterval is the least time between two extensions of a transfer's deadline, in milliseconds.
	deadlineInterval = pomelo.Millis(1_000)
	// chunkOverhead is the maximum ratio of a chunked body's bytes on the wire to its data.
	chunkOverhead = 8
)

// Estimated memory in bytes.
const (
	// ConnBytes is the memory of an open connection: two goroutines, a buffer and a queue.
	ConnBytes = 24 << 10
	// callBytes is the memory of a request that is handled, without its head and body.
	callBytes = 24 << 10
	// replyBytes is the memory of a reply without its body.
	replyBytes = 4 << 10
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
	// memory is that of the connection itself.
	memory *hold.Hold
	// writeStall is the time of the last progress of the reply that is being written, or 0.
	writeStall atomic.Int64
	mu         sync.Mutex
	// incoming is the request that is being read, or nil.
	incoming *incomingRequest
	// idleSince is the time since which the connection waits for a request.
	idleSince pomelo.Millis
	// hasHadRequest is set once a request was read.
	hasHadRequest bool
	// replies holds the memory of the requests without a written reply.
	replies  map[*hold.Hold]bool
	inFlight int
	// closing is set once the connection is to be closed after the requests that have arrived.
	closing bool
	// hasLastReply is set once a reply says that it is the connection's last, so that the caller repeats later requests on another one.
	hasLastReply bool
	// evicted is set once the connection was closed for want of memory or descriptors.
	evicted bool
}

// incomingRequest is a request that is being read.
type incomingRequest struct {
	http   *http.Request
	body   []byte
	memory *hold.Hold
	// isStarted is set once bytes of it have arrived, besides an empty line.
	isStarted bool
	// inBody is set once the head was read.
	inBody bool
	// stalledSince is the time of the last progress.
	stalledSince pomelo.Millis
	// moved are the bytes that have arrived since then.
	moved int
	// deadlineAt is the time at which the read deadline was set last.
	deadlineAt pomelo.Millis
	// evicted is set once the request was refused for want of memory.
	evicted bool
}

// pendingReply holds the place of one reply in the connection's order.
type pendingReply struct {
	reply chan pomelo.Reply
	// noBody is set for a HEAD request, whose reply is sent without its body.
	noBody bool
	close  bool
	memory *hold.Hold
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	l := &limitedReader{Reader: c}
	k := &conn{
		Conn:      c,
		server:    s,
		ctx:       ctx,
		cancel:    cancel,
		input:     l,
		reader:    bufio.NewReaderSize(l, readBufferBytes),
		pipeline:  make(chan *pendingReply, maxPipelined),
		memory:    hold.New(s.budget),
		idleSince: s.clock.Now(),
		replies:   map[*hold.Hold]bool{},
	}
	l.onRead = k.recordRead
	return k
}

func (c *conn) serve() {
	c.memory.Add(ConnBytes)
	go c.writeReplies()
	c.readRequests()
	close(c.pipeline)
}

// readRequests reads and dispatches requests until one of them is the connection's last or reading fails.
func (c *conn) readRequests() {
	for !c.lastReplyKnown() {
		r := &incomingRequest{memory: hold.New(c.server.budget)}
		err := c.readRequest(r)
		if err == nil {
			err = c.finishRead(r)
		}
		if err != nil {
			r.memory.Release()
			c.handleReadError(r, err)
			return
		}
		c.dispatch(r)
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
func (c *conn) readRequest(q *incomingRequest) error {
	l := c.server.currentLimits()
	c.input.remaining = int64(l.HeadBytes + readBufferBytes)
	c.input.err = nil
	if err := c.awaitRequest(l); err != nil {
		return err
	}
	if err := c.startRequest(q, l); err != nil {
		return err
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return err
	}
	q.http = r
	if r.ContentLength > int64(l.BodyBytes) {
		return bodyTooLarge()
	}
	c.startBody(q)
	c.input.remaining = chunkOverhead*int64(l.BodyBytes) + int64(l.HeadBytes)
	if r.Header.Get("Expect") != "" && r.ContentLength != 0 {
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	q.body, err = q.memory.ReadRequest(http.MaxBytesReader(nil, r.Body, int64(l.BodyBytes)), r.ContentLength, c.server.budget.BodyLimit())
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return err
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

// startRequest begins the time and the memory of a request, of which the first byte has arrived, and skips one empty line before it (RFC 9112, section 2.2).
func (c *conn) startRequest(q *incomingRequest, l pomelo.TrafficLimits) error {
	c.mu.Lock()
	if c.evicted {
		c.mu.Unlock()
		return errEvicted
	}
	now := c.server.clock.Now()
	q.stalledSince = now
	c.incoming = q
	_ = c.SetReadDeadline(time.Now().Add(l.HeadTimeout.Duration()))
	c.mu.Unlock()
	if err := c.skipEmptyLine(); err != nil {
		return err
	}
	q.isStarted = true
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return q.memory.Take(callBytes + hold.OfHead(buffered))
}

func (c *conn) skipEmptyLine() error {
	b, err := c.reader.Peek(1)
	if err != nil {
		return err
	}
	line := 0
	switch b[0] {
	case '\n':
		line = 1
	case '\r':
		if b, err = c.reader.Peek(2); err != nil {
			return err
		}
		if b[1] == '\n' {
			line = 2
		}
	}
	if line == 0 {
		return nil
	}
	_, _ = c.reader.Discard(line)
	_, err = c.reader.Peek(1)
	return err
}

// startBody ends the time for the head; a body has time as long as it makes progress.
func (c *conn) startBody(q *incomingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.inBody = true
	c.extendRead(q, c.server.clock.Now())
}

// extendRead gives the rest of the body time; mu must be locked.
func (c *conn) extendRead(q *incomingRequest, now pomelo.Millis) {
	if q.evicted {
		return
	}
	q.deadlineAt = now
	_ = c.SetReadDeadline(time.Now().Add(c.server.stallTimeout.Duration()))
}

// recordRead counts the bytes of the request that is being read; an error ends it.
func (c *conn) recordRead(b []byte) error {
	c.mu.Lock()
	q := c.incoming
	if q == nil {
		c.mu.Unlock()
		return nil
	}
	now := c.server.clock.Now()
	if q.moved += len(b); q.moved >= progressBytes {
		q.moved = 0
		q.stalledSince = now
	}
	if q.inBody && now-q.deadlineAt >= deadlineInterval {
		c.extendRead(q, now)
	}
	inBody := q.inBody
	c.mu.Unlock()
	if inBody {
		return nil
	}
	return q.memory.Take(hold.OfHead(b))
}

// finishRead ends the reading of a request; from then on it can't be refused for want of memory by another connection.
func (c *conn) finishRead(q *incomingRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incoming = nil
	c.hasHadRequest = true
	c.idleSince = c.server.clock.Now()
	if c.evicted || q.evicted {
		return errEvicted
	}
	return nil
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
func (c *conn) dispatch(q *incomingRequest) {
	r, body, memory := q.http, q.body, q.memory
	s := &pendingReply{reply: make(chan pomelo.Reply, 1), noBody: r.Method == http.MethodHead, memory: memory}
	memory.Set(callBytes + hold.OfFields(r.Header) + int64(cap(body)))
	c.mu.Lock()
	if c.hasLastReply || c.evicted {
		c.mu.Unlock()
		memory.Release()
		return
	}
	c.inFlight++
	c.replies[memory] = true
	c.closing = c.closing || r.Close || c.server.draining.Load()
	c.hasLastReply = c.closing
	s.close = c.closing
	c.mu.Unlock()
	c.server.pending.Add(1)
	c.pipeline <- s
	go func() {
		stack.Grow()
		ctx, cancel := context.WithCancel(hold.NewContext(c.ctx, memory))
		defer cancel()
		defer context.AfterFunc(c.server.requestContext, cancel)()
		reply := pomelo.Reply{Status: http.StatusBadGateway, Header: http.Header{}, Close: true}
		c.server.guard.Run("request", "", func() { reply = c.server.handler(ctx, r, body) })
		memory.Set(replyBytes + int64(cap(reply.Body)))
		s.reply <- reply
	}()
}

// handleReadError refuses an invalid or oversized request, and cancels all running requests when the caller has closed the connection.
func (c *conn) handleReadError(q *incomingRequest, err error) {
	c.mu.Lock()
	c.incoming = nil
	connEvicted := c.evicted
	c.mu.Unlock()
	var f *pomelo.Fault
	switch {
	case connEvicted:
		c.cancel()
	case q.evicted && !q.isStarted:
	case errors.As(err, &f):
		c.refuse(http.StatusRequestEntityTooLarge)
	case q.evicted, errors.Is(err, budget.ErrExhausted), errors.Is(err, budget.ErrBodyTooLarge):
		c.server.metrics.Count("inlet.bodies_refused", 1)
		c.refuse(http.StatusServiceUnavailable)
	case errors.Is(err, errHeadTooLarge):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case c.input.timedOut:
		c.handleTimeout(q)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		c.cancel()
	default:
		c.refuse(http.StatusBadRequest)
	}
}

// handleTimeout refuses an incomplete request with status 408; an idle connection closes without a reply.
func (c *conn) handleTimeout(q *incomingRequest) {
	if !q.isStarted {
		return
	}
	c.refuse(http.StatusRequestTimeout)
}

// refuse queues an empty reply with the status, after which the connection closes.
func (c *conn) refuse(status int) {
	c.server.metrics.Count("inlet.refused."+strconv.Itoa(status), 1)
	c.server.log.Info("request_not_read", "caller", c.RemoteAddr(), "status", status)
	s := &pendingReply{reply: make(chan pomelo.Reply, 1), close: true, memory: hold.New(c.server.budget)}
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
		c.releaseReply(s)
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
	c.idleSince = c.server.clock.Now()
	c.mu.Unlock()
	return last, true
}

// releaseReply gives back the memory of a request whose reply was written or given up.
func (c *conn) releaseReply(s *pendingReply) {
	s.memory.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, s.memory)
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
	c.server.conns.Remove(c)
	for s := range c.pipeline {
		c.releaseReply(s)
		c.server.pending.Add(-1)
	}
	c.memory.Release()
}

// closeGracePeriod is the delay before the connection is closed: a close with unread input resets it, and the caller can lose the last reply.
const closeGracePeriod = pomelo.Millis(300)

// waitBeforeClose sets a read deadline that ends the reading goroutine, and waits for closeGracePeriod if the connection is closing.
func (c *conn) waitBeforeClose() {
	c.mu.Lock()
	waits := c.closing && !c.evicted
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(closeGracePeriod.Duration()))
	if waits {
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

// writeReply writes the reply; a caller that reads it slowly has time as long as it makes progress.
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
	rest := r.Body
	if noBody {
		rest = nil
	}
	first := min(len(rest), pieceBytes)
	b.Write(rest[:first])
	defer c.writeStall.Store(0)
	if err := c.writePiece(b.Bytes()); err != nil {
		return err
	}
	for rest = rest[first:]; len(rest) > 0; {
		n := min(len(rest), pieceBytes)
		if err := c.writePiece(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// writePiece writes a part of a reply within the time for progress.
func (c *conn) writePiece(b []byte) error {
	c.writeStall.Store(int64(c.server.clock.Now()))
	_ = c.SetWriteDeadline(time.Now().Add(c.server.stallTimeout.Duration()))
	_, err := c.Write(b)
	return err
}

func bodyTooLarge() error {
	return pomelo.NewFault(pomelo.KindTooLarge, "the body is over the limit", "send a smaller body")
}
