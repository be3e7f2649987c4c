package inlet

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

var errHead = errors.New("the head is over the limit")

// headLimit ends reading once a request's share of bytes is used up.
type headLimit struct {
	io.Reader
	left int64
	// late is set once a read has run into its deadline, which the request reader may tell as a malformed line.
	late bool
}

// Read implements io.Reader.
func (l *headLimit) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHead
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.Reader.Read(b)
	l.left -= int64(n)
	var t net.Error
	l.late = errors.As(err, &t) && t.Timeout()
	return n, err
}
