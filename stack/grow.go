package stack

// frameBytes is the stack that a call needs for encoding and the connection's code, in bytes.
const frameBytes = 12 << 10

// Grow grows the stack while it is nearly empty: growing it step by step in deep calls copies it and adjusts each frame every time.
//
//go:noinline
func Grow() byte {
	var frame [frameBytes]byte
	return touch(&frame)
}

//go:noinline
func touch(frame *[frameBytes]byte) byte {
	return frame[frameBytes-1]
}
