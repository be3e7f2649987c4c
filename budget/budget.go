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
	var read pieces
	defer func() { b.used.Add(-read.counted) }()
	for {
		if read.isFull() {
			if err := b.grow(&read); err != nil {
				return nil, err
			}
		}
		room := read.room()
		n, err := r.Read(room[:min(int64(len(room)), b.BodyLimit()+1-read.length)])
		read.extend(n)
		if read.length > b.BodyLimit() {
			return nil, ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return read.join(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow adds room for a body's next bytes, which is counted beyond the free ones.
func (b *Budget) grow(p *pieces) error {
	if p.length < freeBytes {
		p.growFirst()
		return nil
	}
	if b.used.Add(pieceBytes) > b.size {
		b.used.Add(-pieceBytes)
		return ErrExhausted
	}
	p.addPiece()
	return nil
}
