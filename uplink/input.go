package uplink

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// unlimited is the number of remaining bytes of an input without a limit.
const unlimited = int64(1) << 62

var (
	errHeadTooLarge  = errors.New("the head of the answer is over the limit")
	errFoldedLine    = errors.New("a line of the head begins with a blank")
	errEncodedHTTP10 = errors.New("a response of HTTP/1.0 names a transfer encoding")
)

// input returns errHeadTooLarge, and sets exceeded, once the remaining bytes have been read. It checks the lines of a head, of which it returns nothing beyond the end.
type input struct {
	source    io.Reader
	remaining int64
	exceeded  bool
	// rest holds bytes that were read from the source and not returned yet.
	rest   []byte
	inHead bool
	lines  headLines
}

// startHead begins a head with the given bytes, which were returned already, and what follows them.
func (p *input) startHead(returned []byte) {
	if len(returned) > 0 {
		p.rest = slices.Concat(returned, p.rest)
	}
	p.inHead = true
	p.lines = headLines{}
}

// Read implements io.Reader.
func (p *input) Read(b []byte) (int, error) {
	if p.remaining <= 0 {
		p.exceeded = true
		return 0, errHeadTooLarge
	}
	if int64(len(b)) > p.remaining {
		b = b[:p.remaining]
	}
	n, err := p.readSource(b)
	if p.inHead {
		var ok bool
		if n, ok = p.checkHead(b[:n]); !ok {
			return 0, errFoldedLine
		}
	}
	p.remaining -= int64(n)
	return n, err
}

func (p *input) readSource(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return p.source.Read(b)
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	if len(p.rest) == 0 {
		// Releases the memory of an idle connection.
		p.rest = nil
	}
	return n, nil
}

// checkHead returns the number of bytes that belong to the head, and keeps the others; false means that the head is invalid.
func (p *input) checkHead(b []byte) (int, bool) {
	n, ended, ok := p.lines.scan(b)
	if ended {
		p.inHead = false
	}
	if n < len(b) {
		p.rest = slices.Concat(b[n:], p.rest)
	}
	return n, ok
}
