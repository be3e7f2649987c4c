package uplink

import (
	"io"

	"github.com/cockroachdb/errors"
)

// unlimited is the number of remaining bytes of an input without a limit.
const unlimited = int64(1) << 62

var errHeadTooLarge = errors.New("the head of the answer is over the limit")

// limitedInput returns errHeadTooLarge, and sets exceeded, once the remaining bytes have been read.
type limitedInput struct {
	io.Reader
	remaining int64
	exceeded  bool
}

// Read implements io.Reader.
func (l *limitedInput) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errHeadTooLarge
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.Reader.Read(b)
	l.remaining -= int64(n)
	return n, err
}
