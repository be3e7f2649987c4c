package uplink

import "strings"

const transferEncoding = "transfer-encoding:"

// headLines scans a head for what net/http hides: it joins lines that begin with a blank with the line before (RFC 9112, section 5.2), although the first byte of a field's name may be the odd one, and it removes Transfer-Encoding from responses of HTTP/1.0.
type headLines struct {
	// length is the number of bytes of the current line so far, start the first and last the latest of them.
	length int
	start  [len(transferEncoding)]byte
	last   byte
	// isEncoded is set once a line has named a transfer encoding.
	isEncoded bool
}

// scan returns the number of bytes up to the end of the head, and whether it has been found; ok is false at a line that begins with a blank.
func (l *headLines) scan(b []byte) (n int, ended, ok bool) {
	for i, x := range b {
		switch {
		case x == '\n' && l.isEmpty():
			return i + 1, true, true
		case x == '\n':
			l.endLine()
		case l.length == 0 && (x == ' ' || x == '\t'):
			return i, false, false
		default:
			l.add(x)
		}
	}
	return len(b), false, true
}

func (l *headLines) add(x byte) {
	if l.length < len(l.start) {
		l.start[l.length] = x
	}
	l.length++
	l.last = x
}

func (l *headLines) endLine() {
	if l.length >= len(l.start) && strings.EqualFold(string(l.start[:]), transferEncoding) {
		l.isEncoded = true
	}
	l.length = 0
}

// isEmpty reports whether the line is empty but for a carriage return at its end.
func (l *headLines) isEmpty() bool {
	return l.length == 0 || l.length == 1 && l.last == '\r'
}
