package bound

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/evict"
)

// ConnBytes is the memory of an open connection: a goroutine and buffers.
const ConnBytes = 24 << 10

// defaultStallTimeout is the time in which a body or the reader of a response must make progress.
const defaultStallTimeout = pomelo.Millis(20_000)

// stopInterval is the time between two looks at the connections of a closed listener.
const stopInterval = pomelo.Millis(100)

// http2Config bounds what a connection of HTTP/2 holds.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          32,
		MaxReadFrameSize:              16 << 10,
		MaxReceiveBufferPerConnection: 256 << 10,
		MaxReceiveBufferPerStream:     64 << 10,
	}
}

// Listener accepts connections as long as its table has room for them.
type Listener struct {
	net.Listener
	clock        pomelo.Clock
	table        *evict.Table
	budget       *budget.Budget
	stallTimeout pomelo.Millis
	ctx          context.Context
	cancel       context.CancelFunc
}

// New returns a listener that lists its connections in the table.
func New(l net.Listener, clock pomelo.Clock, table *evict.Table, opts ...func(*Listener)) *Listener {
	b := &Listener{Listener: l, clock: clock, table: table, stallTimeout: defaultStallTimeout}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for _, o := range opts {
		o(b)
	}
	return b
}

// WithBudget counts the memory of connections and of the heads of their requests; Memory returns it for the rest.
func WithBudget(b *budget.Budget) func(*Listener) {
	return func(l *Listener) { l.budget = b }
}

// WithStallTimeout sets the time, in milliseconds, after which a body or the reader of a response that makes no progress is given up; 0 leaves the default.
func WithStallTimeout(d pomelo.Millis) func(*Listener) {
	return func(l *Listener) {
		if d > 0 {
			l.stallTimeout = d
		}
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		// Not wrapped: the server goes on after some errors, which it knows by their type.
		return nil, err
	}
	k := newConn(l, c)
	if err := l.table.Add(l.ctx, k); err != nil {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	k.memory.Add(ConnBytes)
	return k, nil
}

// Close implements net.Listener. Until all connections are closed it ends those whose requests make no progress, so that a stop need not wait for them.
func (l *Listener) Close() error {
	l.cancel()
	go func() {
		for l.table.Len() > 0 {
			l.table.EndRequests()
			_ = l.clock.Sleep(context.Background(), stopInterval)
		}
	}()
	return l.Listener.Close()
}

// Serve serves s at a listener that is l or wraps it, until s is closed; hooks of s tell what the connections wait for.
func Serve(s *http.Server, l net.Listener) error {
	s.HTTP2 = http2Config()
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, connOf(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if k := connOf(c); k != nil && state == http.StateIdle {
			k.setIdle()
		}
	}
	return s.Serve(l)
}

// connOf returns the connection below TLS, or nil if it is of another listener.
func connOf(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	k, _ := c.(*conn)
	return k
}
