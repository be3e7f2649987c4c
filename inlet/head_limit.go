package inlet

import (
	"io"

	"github.com/cockroachdb/errors"
)

var errHead = errors.New("the head is over the limit")

// headLimit ends reading once a request's share of bytes is used up.
type headLimit struct {
	io.Reader
	left int64
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
	return n, err
}
