package bound

import (
	"net"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/hold"
)

const (
	// progressBytes are the bytes of a request that must arrive to count as progress while memory is short.
	progressBytes = 16 << 10
	// pieceBytes are the bytes of a response that must be read to count as progress.
	pieceBytes = 64 << 10
	// callBytes is the memory of a request that is handled, in bytes, without its fields and body.
	callBytes = 24 << 10
)

// conn is a connection of an HTTP server, with one request at a time or, over HTTP/2, several.
type conn struct {
	net.Conn
	listener *Listener
	// memory is that of the connection and of heads that are not complete.
	memory *hold.Hold
	mu     sync.Mutex
	// requests holds the memory of the requests that are handled.
	requests map[*hold.Hold]bool
	// idle is set while no byte of a request has arrived.
	idle bool
	// hasHadRequest is set once a request was answered.
	hasHadRequest bool
	// reading, running and writing are the requests whose bodies are being read, that are handled, and whose responses are being written.
	reading int
	running int
	writing int
	// since is the time of the last progress.
	since pomelo.Millis
	// moved are the bytes that have arrived since then.
	moved   int
	evicted bool
	closed  sync.Once
}

var _ pomelo.ClientConn = (*conn)(nil)

func newConn(l *Listener, c net.Conn) *conn {
	k := &conn{Conn: c, listener: l, idle: true, since: l.clock.Now(), requests: map[*hold.Hold]bool{}}
	k.memory = k.newHold()
	return k
}

// newHold returns a hold of no bytes, or nil if memory is not counted.
func (c *conn) newHold() *hold.Hold {
	if c.listener.budget == nil {
		return nil
	}
	return hold.New(c.listener.budget)
}

// addRequest returns the hold of a request whose head was read; the connection was closed for want of memory if the hold is released.
func (c *conn) addRequest(fields int64) *hold.Hold {
	h := c.newHold()
	h.Add(callBytes + fields)
	c.memory.Set(ConnBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[h] = true
	if c.evicted {
		h.Release()
	}
	return h
}

// removeRequest gives back the memory of a request that was answered.
func (c *conn) removeRequest(h *hold.Hold) {
	h.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, h)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if failed := c.recordRead(b[:n]); failed != nil {
		return 0, failed
	}
	return n, err
}

// recordRead counts bytes of a request; an error closes the connection.
func (c *conn) recordRead(b []byte) error {
	c.mu.Lock()
	if c.evicted {
		c.mu.Unlock()
		return net.ErrClosed
	}
	if len(b) == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle {
		c.idle = false
		c.progress()
	}
	if c.moved += len(b); c.moved >= progressBytes {
		c.progress()
	}
	isHead := c.reading == 0
	c.mu.Unlock()
	if !isHead {
		return nil
	}
	return c.memory.Take(hold.OfHead(b))
}

// progress notes that the client has made progress; mu must be locked.
func (c *conn) progress() {
	c.moved = 0
	c.since = c.listener.clock.Now()
}

// Write implements net.Conn; a client that reads slowly has time as long as it makes progress.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+pieceBytes)]
		c.change(&c.writing, 1)
		_ = c.SetWriteDeadline(time.Now().Add(c.listener.stallTimeout.Duration()))
		n, err := c.Conn.Write(piece)
		c.change(&c.writing, -1)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// change adds n to one of the counts of requests; it returns false if the connection was closed for want of memory or descriptors.
func (c *conn) change(count *int, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	*count += n
	c.progress()
	return !c.evicted
}

// setIdle ends all requests and gives back their memory.
func (c *conn) setIdle() {
	c.mu.Lock()
	c.idle = true
	c.hasHadRequest = true
	c.progress()
	c.mu.Unlock()
	c.memory.Set(ConnBytes)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() {
		c.listener.table.Remove(c)
		c.memory.Release()
	})
	return err
}

// Wait implements pomelo.ClientConn. A head that is not complete counts as the wait for a first request, since it comes at once from others.
func (c *conn) Wait() pomelo.ClientWait {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := pomelo.ClientWait{Kind: pomelo.WaitNew, Since: c.since, Bytes: c.memory.Bytes()}
	for h := range c.requests {
		w.Bytes += h.Bytes()
	}
	switch {
	case c.evicted:
		w.Kind = pomelo.WaitNone
	case c.writing > 0:
		w.Kind = pomelo.WaitReader
	case c.running > 0:
		w.Kind = pomelo.WaitNone
	case c.reading > 0:
		w.Kind = pomelo.WaitRequest
	case c.idle && c.hasHadRequest:
		w.Kind = pomelo.WaitIdle
	}
	return w
}

// Evict implements pomelo.ClientConn.
func (c *conn) Evict(w pomelo.ClientWait) bool {
	c.mu.Lock()
	if c.evicted || c.since != w.Since || c.running > 0 && c.writing == 0 {
		c.mu.Unlock()
		return false
	}
	c.evicted = true
	for h := range c.requests {
		h.Release()
	}
	c.mu.Unlock()
	c.memory.Release()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	return true
}
