package pomelo

import (
	"context"
	"time"
)

// Millis is a duration or a point in time, in milliseconds.
type Millis int64

// Duration converts m, in milliseconds, to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// MillisOf converts a duration of the standard library to whole milliseconds, rounding down.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads the wall clock; implementations are safe for concurrent use.
type Clock interface {
	// Now returns milliseconds since the Unix epoch; within a process it never decreases.
	Now() Millis
	// Sleep returns nil after d milliseconds, or the context's error if that ends first.
	Sleep(ctx context.Context, d Millis) error
}

// MonotonicClock also reads a clock that adjustments of the wall clock don't affect, for waits and rates that must not be cut short.
type MonotonicClock interface {
	Clock
	// Monotonic returns milliseconds since a fixed time before the process first used the clock.
	Monotonic() Millis
}
