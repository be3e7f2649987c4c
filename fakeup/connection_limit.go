package fakeup

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes connections over the limit at once, as a server with a connection limit does.
type limitListener struct {
	net.Listener
	limit     int64
	open      atomic.Int64
	onRefused func()
}

type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (s *Server) limitConnections(l net.Listener) net.Listener {
	if s.spec.Connections < 1 {
		return l
	}
	return &limitListener{Listener: l, limit: int64(s.spec.Connections), onRefused: s.countRefusedConnection}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitConn{Conn: c, release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		l.onRefused()
		_ = c.Close()
	}
}

// Close closes the connection and, on the first call, releases its place within the limit.
func (c *limitConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
