package inlet

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

var errHeadTooLarge = errors.New("the head is over the limit")

// limitedReader returns errHeadTooLarge once a request has used up its bytes.
type limitedReader struct {
	io.Reader
	remaining int64 // bytes
	// timedOut is set if the newest read exceeded its deadline, which http.ReadRequest may report as a malformed request.
	timedOut bool
	// onRead is called with the bytes of each read; its error ends the request, and stays until the next one.
	onRead func(b []byte) error
	err    error
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.err != nil {
		return 0, l.err
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.Reader.Read(b)
	l.remaining -= int64(n)
	var t net.Error
	l.timedOut = errors.As(err, &t) && t.Timeout()
	if n > 0 {
		l.err = l.onRead(b[:n])
	}
	if l.err != nil {
		return n, l.err
	}
	return n, err
}
