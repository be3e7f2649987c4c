package clock

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
)

// Clock implements pomelo.Clock with the system's time, or with a manual time (WithManual).
type Clock struct {
	mu        sync.Mutex
	wall      func() pomelo.Millis
	monotonic func() pomelo.Millis
	// wallOffset plus the monotonic reading is the time.
	wallOffset pomelo.Millis
	manual     bool
	manualNow  pomelo.Millis
	sleepers   map[*sleeper]bool
}

// New returns a clock of the system's time unless an option sets another source.
func New(opts ...func(*Clock)) *Clock {
	c := &Clock{
		wall:      systemWall,
		monotonic: systemMonotonic(),
		sleepers:  map[*sleeper]bool{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.wallOffset = c.wall() - c.monotonic()
	return c
}

// WithReaders replaces the functions that read the wall and monotonic clocks, both in milliseconds.
func WithReaders(wall, monotonic func() pomelo.Millis) func(*Clock) {
	return func(c *Clock) {
		c.wall = wall
		c.monotonic = monotonic
	}
}

// Now returns milliseconds since the Unix epoch, by the wall clock or the advanced monotonic clock, whichever is later.
func (c *Clock) Now() pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.manualNow
	}
	return c.systemNow()
}

// Monotonic returns the monotonic reading in milliseconds.
func (c *Clock) Monotonic() pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.manualNow
	}
	return c.monotonic()
}

// systemNow raises wallOffset when the wall clock is ahead, so that the time neither runs backwards nor stops when the wall clock is set back later.
func (c *Clock) systemNow() pomelo.Millis {
	m := c.monotonic()
	c.wallOffset = max(c.wallOffset, c.wall()-m)
	return c.wallOffset + m
}

// Sleep returns nil after d milliseconds, or the context's error if the context is done first.
func (c *Clock) Sleep(ctx context.Context, d pomelo.Millis) error {
	if d <= 0 {
		return ctx.Err()
	}
	if c.manual {
		return c.sleepManual(ctx, d)
	}
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func systemWall() pomelo.Millis {
	return pomelo.Millis(time.Now().UnixMilli())
}

func systemMonotonic() func() pomelo.Millis {
	start := time.Now()
	return func() pomelo.Millis {
		return pomelo.MillisOf(time.Since(start))
	}
}
