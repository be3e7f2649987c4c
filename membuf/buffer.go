package membuf

import (
	"bytes"
	"sync"
)

// Buffer is an io.Writer that is safe for concurrent use; the zero value is ready.
type Buffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends b.
func (m *Buffer) Write(b []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.buffer.Write(b)
}

// String returns the content written up to now.
func (m *Buffer) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.buffer.String()
}
