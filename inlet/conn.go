package inlet

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomeloworks/pomelo"
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
