package hold

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo/budget"
)

const (
	firstBytes = 4 << 10
	// pieceBytes is the size of the pieces in which a body of unknown length is read.
	pieceBytes = 64 << 10
	// shortBytes is the size up to which an answer is read without waiting for memory.
	shortBytes = 2 * pieceBytes
	// unknownLengthWait is the time for which an answer without a length waits for memory.
	unknownLengthWait = time.Second
	// claimFraction is the fraction of a stated length that must have arrived before the rest is allocated.
	claimFraction = 4
)

// grower counts n more bytes.
type grower func(n int64) error

// ReadRequest reads a request's body of the given length, or of any length if it is negative. It returns budget.ErrExhausted as soon as there is no memory for the next bytes, budget.ErrBodyTooLarge, or the reader's error.
func (h *Hold) ReadRequest(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, budget.ErrBodyTooLarge
	}
	return readAll(r, length, limit, h.Take)
}

// ReadAnswer reads an answer's body like ReadRequest, but waits for memory, since what has run is not given up; one without a length may have no end, and waits for a short time only.
func (h *Hold) ReadAnswer(ctx context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, budget.ErrBodyTooLarge
	}
	if length > pieceBytes {
		// An answer that has its memory from the start can't stop another one halfway.
		if err := h.Await(ctx, length); err != nil {
			return nil, err
		}
		b := make([]byte, length)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	taken := int64(0)
	return readAll(r, length, limit, func(n int64) error {
		// Short answers come to those that the node has admitted, and need not wait for long ones.
		if taken += n; taken <= shortBytes {
			h.Add(n)
			return nil
		}
		return h.awaitBriefly(ctx, n)
	})
}

// awaitBriefly returns budget.ErrExhausted if the memory is not there in time.
func (h *Hold) awaitBriefly(ctx context.Context, n int64) error {
	brief, cancel := context.WithTimeoutCause(ctx, unknownLengthWait, budget.ErrExhausted)
	defer cancel()
	return h.Await(brief, n)
}

// readAll reads in pieces, and in one piece once a part of the stated length has arrived, since a length is only a claim until then.
func readAll(r io.Reader, length, limit int64, grow grower) ([]byte, error) {
	b := buffer{grow: grow}
	for {
		if err := b.reserve(length); err != nil {
			return nil, err
		}
		room := b.room()
		n, err := r.Read(room[:min(int64(len(room)), limit+1-b.length)])
		b.extend(n)
		if b.length > limit {
			return nil, budget.ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return b.join()
		}
		if err != nil {
			return nil, err
		}
	}
}

// buffer is a body in pieces, so that a long one that is given up in the end is never copied into larger and larger ones.
type buffer struct {
	pieces [][]byte
	length int64
	grow   grower
	whole  bool
}

func (b *buffer) last() []byte {
	if len(b.pieces) == 0 {
		return nil
	}
	return b.pieces[len(b.pieces)-1]
}

func (b *buffer) room() []byte {
	last := b.last()
	return last[len(last):cap(last)]
}

func (b *buffer) extend(n int) {
	last := b.last()
	b.pieces[len(b.pieces)-1] = last[:len(last)+n]
	b.length += int64(n)
}

// reserve makes room for at least one byte.
func (b *buffer) reserve(length int64) error {
	if len(b.room()) > 0 {
		return nil
	}
	// One byte more than the length has the reader find its end without further room.
	if !b.whole && length >= 0 && (length < pieceBytes || b.length >= length/claimFraction) {
		b.whole = true
		return b.replace(length + 1)
	}
	if b.length < pieceBytes {
		return b.replace(max(2*b.length, firstBytes))
	}
	if err := b.grow(pieceBytes); err != nil {
		return err
	}
	b.pieces = append(b.pieces, make([]byte, 0, pieceBytes))
	return nil
}

// replace copies all pieces into a new one of n bytes.
func (b *buffer) replace(n int64) error {
	if err := b.grow(n); err != nil {
		return err
	}
	out := make([]byte, 0, n)
	for _, p := range b.pieces {
		out = append(out, p...)
	}
	b.pieces = [][]byte{out}
	return nil
}

// join returns the body in one piece.
func (b *buffer) join() ([]byte, error) {
	if len(b.pieces) == 1 {
		return b.pieces[0], nil
	}
	if err := b.replace(b.length); err != nil {
		return nil, err
	}
	return b.pieces[0], nil
}
