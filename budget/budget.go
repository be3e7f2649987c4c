package budget

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// freeBytes of each body are not counted: short bodies are bounded by the number of connections, and must not wait for long ones.
	freeBytes = 64 << 10
	// bodyFraction is the fraction of the budget that one body may use.
	bodyFraction = 2
	firstBuffer  = 4 << 10
)

// ErrBodyTooLarge means that one body is over its share of the budget.
var ErrBodyTooLarge = errors.New("the body is over the limit for one body")

// ErrExhausted means that the bodies being read use up the budget.
var ErrExhausted = errors.New("the bodies being read use up the memory for them")

// Budget is the number of bytes that bodies being read may use; it is safe for concurrent use.
type Budget struct {
	size int64
	used atomic.Int64
}

// New returns a budget of this many bytes.
func New(bytes int64) *Budget {
	return &Budget{size: bytes}
}

// BodyLimit returns the maximum number of bytes of one body.
func (b *Budget) BodyLimit() int64 {
	return b.size / bodyFraction
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// ReadAll reads r to its end; it returns ErrBodyTooLarge, ErrExhausted, or the reader's error, and stops reading at once.
func (b *Budget) ReadAll(r io.Reader) ([]byte, error) {
	buffer := make([]byte, 0, firstBuffer)
	counted := int64(0)
	defer func() { b.used.Add(-counted) }()
	for {
		if len(buffer) == cap(buffer) {
			next := min(2*int64(cap(buffer)), b.BodyLimit()+1)
			more, err := b.acquire(int64(cap(buffer)), next)
			if err != nil {
				return nil, err
			}
			counted += more
			buffer = append(make([]byte, 0, next), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > b.BodyLimit() {
			return nil, ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// acquire reserves the bytes by which a buffer is to grow, and returns how many are counted.
func (b *Budget) acquire(size, next int64) (int64, error) {
	if next <= freeBytes {
		return 0, nil
	}
	if b.used.Add(next-size) > b.size {
		b.used.Add(size - next)
		return 0, ErrExhausted
	}
	return next - size, nil
}
