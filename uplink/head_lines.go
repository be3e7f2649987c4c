package uplink

// headLines scans a head for lines that begin with a blank, which net/http joins with the line before (RFC 9112, section 5.2): the first byte of a field's name may be the odd one.
type headLines struct {
	// length is the number of bytes of the current line so far, and last the latest of them.
	length int
	last   byte
}

// scan returns the number of bytes up to the end of the head, and whether it has been found; ok is false at a line that begins with a blank.
func (l *headLines) scan(b []byte) (n int, ended, ok bool) {
	for i, x := range b {
		switch {
		case x == '\n' && l.isEmpty():
			return i + 1, true, true
		case x == '\n':
			l.length = 0
		case l.length == 0 && (x == ' ' || x == '\t'):
			return i, false, false
		default:
			l.length++
			l.last = x
		}
	}
	return len(b), false, true
}

// isEmpty reports whether the line is empty but for a carriage return at its end.
func (l *headLines) isEmpty() bool {
	return l.length == 0 || l.length == 1 && l.last == '\r'
}
