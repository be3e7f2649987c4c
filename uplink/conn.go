package uplink

import (
	"bufio"
	"net"
	"syscall"

	"github.com/pomeloworks/pomelo"
)

const bufferBytes = 4 << 10

// conn is one persistent connection; it carries one call at a time.
type conn struct {
	net.Conn
	input  *limitedInput
	reader *bufio.Reader
	// reusableUntil is the time from which the upstream may close the connection as idle.
	reusableUntil pomelo.Millis
}

func newConn(c net.Conn) *conn {
	l := &limitedInput{Reader: c, remaining: unlimited}
	return &conn{Conn: c, input: l, reader: bufio.NewReaderSize(l, bufferBytes)}
}

// hasNoInput reports whether nothing has arrived since the last response, neither bytes nor the connection's end.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		empty = n < 0 && err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
