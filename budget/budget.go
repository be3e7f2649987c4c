package budget

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// freeBytes of each body are not counted by ReadAll: short bodies are bounded by the number of connections, and must not wait for long ones.
	freeBytes = 64 << 10
	// bodyFraction is the fraction of the budget that one body may use by default.
	bodyFraction = 2
	// largeFraction is the fraction of the budget from which one holder counts as large.
	largeFraction = 32
	// reservedFraction is the fraction of the budget that large holders leave to others.
	reservedFraction = 8
	// retryInterval is the time between two attempts of Await.
	retryInterval = 20 * time.Millisecond
)

// ErrBodyTooLarge means that one body is over its share of the budget.
var ErrBodyTooLarge = errors.New("the body is over the limit for one body")

// ErrExhausted means that the budget is used up.
var ErrExhausted = errors.New("the memory for requests and answers is used up")

// Budget is the number of bytes that a node may hold for its clients; it is safe for concurrent use.
type Budget struct {
	size      int64
	bodyLimit int64
	used      atomic.Int64
	mu        sync.Mutex
	reclaims  []func(bytes int64)
}

// New returns a budget of this many bytes.
func New(bytes int64, opts ...func(*Budget)) *Budget {
	b := &Budget{size: bytes, bodyLimit: bytes / bodyFraction}
	for _, o := range opts {
		o(b)
	}
	return b
}

// WithBodyLimit sets the maximum number of bytes of one body.
func WithBodyLimit(bytes int64) func(*Budget) {
	return func(b *Budget) { b.bodyLimit = bytes }
}

// OnShortage adds a function that is called to have clients that have stalled give back this many bytes; the functions are called in their order.
func (b *Budget) OnShortage(reclaim func(bytes int64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reclaims = append(b.reclaims, reclaim)
}

// BodyLimit returns the maximum number of bytes of one body.
func (b *Budget) BodyLimit() int64 {
	return b.bodyLimit
}

// Size returns the number of bytes of the budget.
func (b *Budget) Size() int64 {
	return b.size
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Add counts n bytes that are held in any case, or that are given back if n is negative.
func (b *Budget) Add(n int64) {
	b.used.Add(n)
}

// Take counts n bytes for a holder that has held bytes up to now; it returns ErrExhausted if they are not there, even without the clients that have stalled.
func (b *Budget) Take(n, held int64) error {
	if b.tryTake(n, held) {
		return nil
	}
	b.mu.Lock()
	reclaims := b.reclaims
	b.mu.Unlock()
	for _, reclaim := range reclaims {
		reclaim(b.used.Load() + n - b.limit(n+held))
		if b.tryTake(n, held) {
			return nil
		}
	}
	return ErrExhausted
}

// Await is Take, and tries again until ctx ends; the error is that of ctx.
func (b *Budget) Await(ctx context.Context, n, held int64) error {
	for b.Take(n, held) != nil {
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return errors.Wrap(context.Cause(ctx), "wait for memory")
		}
	}
	return nil
}

func (b *Budget) tryTake(n, held int64) bool {
	if b.used.Add(n) <= b.limit(n+held) {
		return true
	}
	b.used.Add(-n)
	return false
}

// limit returns the bytes up to which a holder of this many bytes may fill the budget.
func (b *Budget) limit(held int64) int64 {
	if held > b.size/largeFraction {
		return b.size - b.size/reservedFraction
	}
	return b.size
}

// ReadAll reads r to its end, and counts what it has read until then; it returns ErrBodyTooLarge, ErrExhausted, or the reader's error, and stops reading at once.
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
