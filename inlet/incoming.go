package inlet

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/hold"
)

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

func bodyTooLarge() error {
	return pomelo.NewFault(pomelo.KindTooLarge, "the body is over the limit", "send a smaller body")
}
