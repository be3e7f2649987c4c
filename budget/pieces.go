package budget

// Sizes in bytes.
const (
	firstBytes = 4 << 10
	pieceBytes = 64 << 10
)

// pieces is a body in pieces: a long one that is given up in the end is never copied into larger and larger buffers.
type pieces struct {
	all     [][]byte
	length  int64
	counted int64
}

func (p *pieces) last() []byte {
	if len(p.all) == 0 {
		return nil
	}
	return p.all[len(p.all)-1]
}

func (p *pieces) isFull() bool {
	return len(p.last()) == cap(p.last())
}

// growFirst doubles the first piece.
func (p *pieces) growFirst() {
	first := p.last()
	p.all = [][]byte{append(make([]byte, 0, max(2*cap(first), firstBytes)), first...)}
}

// addPiece adds a piece that counts against the budget.
func (p *pieces) addPiece() {
	p.all = append(p.all, make([]byte, 0, pieceBytes))
	p.counted += pieceBytes
}

// room returns the unused part of the last piece.
func (p *pieces) room() []byte {
	last := p.last()
	return last[len(last):cap(last)]
}

// extend adds n bytes that were read into the room.
func (p *pieces) extend(n int) {
	last := p.last()
	p.all[len(p.all)-1] = last[:len(last)+n]
	p.length += int64(n)
}

// join returns the body in one piece.
func (p *pieces) join() []byte {
	if len(p.all) == 1 {
		return p.all[0]
	}
	out := make([]byte, 0, p.length)
	for _, b := range p.all {
		out = append(out, b...)
	}
	return out
}
