package uplink

import (
	"bufio"
	"maps"
	"net"
	"net/http"
	"syscall"

	"github.com/pomeloworks/pomelo"
)

const (
	bufferBytes = 4 << 10
	// maxRejected limits the rejected calls that a connection remembers.
	maxRejected = 64
)

// conn is one persistent connection; it carries one call at a time.
type conn struct {
	net.Conn
	input  *input
	reader *bufio.Reader
	// reusableUntil is the time from which the upstream may close the connection as idle.
	reusableUntil pomelo.Millis
	// calls is the number of calls that were sent on the connection.
	calls int
	// rejected holds the deadlines of the calls that the upstream has rejected on this connection, by their ids.
	rejected map[string]pomelo.Millis
}

func newConn(c net.Conn) *conn {
	p := &input{source: c, remaining: unlimited}
	return &conn{Conn: c, input: p, reader: bufio.NewReaderSize(p, bufferBytes)}
}

// readHead reads the next response's head, of at most limit bytes, and returns how many of them are left; the body is not limited. After an error the connection can't be used again.
func (c *conn) readHead(r *http.Request, limit int64) (*http.Response, int64, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.input.startHead(buffered)
	c.reader.Reset(c.input)
	c.input.remaining = limit
	resp, err := http.ReadResponse(c.reader, r)
	if c.input.exceeded {
		return nil, 0, errHeadTooLarge
	}
	if err != nil {
		return nil, 0, err
	}
	left := c.input.remaining
	c.input.remaining = unlimited
	if c.input.lines.isEncoded && !resp.ProtoAtLeast(1, 1) {
		return nil, 0, errEncodedHTTP10
	}
	return resp, left, pomelo.ValidateResponse(resp)
}

// hasUnread reports whether bytes beyond the last response have been read.
func (c *conn) hasUnread() bool {
	return c.reader.Buffered() > 0 || len(c.input.rest) > 0
}

// recordRejection notes a call that must not be sent again on this connection, and reports whether there was room for it: calls that are past their deadline give way.
func (c *conn) recordRejection(id string, deadline, now pomelo.Millis) bool {
	if c.rejected == nil {
		c.rejected = map[string]pomelo.Millis{}
	}
	if len(c.rejected) >= maxRejected {
		maps.DeleteFunc(c.rejected, func(_ string, d pomelo.Millis) bool { return d <= now })
	}
	if len(c.rejected) >= maxRejected {
		return false
	}
	c.rejected[id] = deadline
	return true
}

// hasRejected reports whether the upstream has rejected the call on this connection, so that it may repeat that rejection.
func (c *conn) hasRejected(id string) bool {
	_, ok := c.rejected[id]
	return ok
}

// hasNoInput reports whether nothing has arrived since the last response, neither bytes nor the connection's end.
func (c *conn) hasNoInput() bool {
	if c.hasUnread() {
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
