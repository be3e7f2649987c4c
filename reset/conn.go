package reset

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose Read returns io.EOF only after the peer's FIN.
type Conn struct {
	net.Conn
	// mu is held during each write.
	mu       sync.Mutex
	writeErr error
}

// New returns a Conn over c.
func New(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection; in place of io.EOF it returns the error with which a write has ended the connection, and after io.EOF no write succeeds.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF after an orderly end. It ends the write in progress, which may have received the reset already.
func (c *Conn) end() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOrderly(c.writeErr) {
		return io.EOF
	}
	return c.writeErr
}

// isOrderly reports whether the error of a write leaves the reader's end of file valid: EPIPE is that of a reset after the peer's FIN.
func isOrderly(err error) bool {
	return err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no file descriptor")
	}
	return s.SyscallConn()
}
