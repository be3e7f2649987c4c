package serve

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo/reset"
)

// upstreamConn counts the bytes written to the connection, and refuses writes once it is closed.
type upstreamConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	closed  bool
}

// Write counts the bytes before it passes them to the kernel, so that a count of 0 proves that none were sent.
func (c *upstreamConn) Write(b []byte) (int, error) {
	if err := c.reserve(len(b)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *upstreamConn) reserve(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.New("the connection has been given up")
	}
	c.written += int64(n)
	return nil
}

func (c *upstreamConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCount closes the connection, refuses later writes, and returns the final byte count.
func (c *upstreamConn) closeAndCount() int64 {
	c.mu.Lock()
	c.closed = true
	n := c.written
	c.mu.Unlock()
	_ = c.Close()
	return n
}

func dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: reset.New(conn)}, nil
}

// attempt traces one request through net/http, to tell whether any of its bytes may have reached the upstream.
type attempt struct {
	mu            sync.Mutex
	conn          *upstreamConn
	writtenBefore int64
	sentEarlier   bool
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

// gotConn runs before the request is written; net/http calls it again if it resends the request on another connection.
func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*upstreamConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentEarlier = a.sentEarlier || a.isSent()
	a.conn = c
	a.writtenBefore = c.bytesWritten()
}

func (a *attempt) isSent() bool {
	return a.conn != nil && a.conn.bytesWritten() > a.writtenBefore
}

// abandon closes the connection for good and reports whether any part of the request may have reached the upstream.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return a.sentEarlier
	}
	return a.conn.closeAndCount() > a.writtenBefore || a.sentEarlier
}
