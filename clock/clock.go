package clock

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
)

// Clock is a pomelo.Clock over the system's time, or over a manual time with WithManual.
type Clock struct {
	mu        sync.Mutex
	wall      func() pomelo.Millis
	monotonic func() pomelo.Millis
	// base is what to add to the monotonic reading to get the time.
	base     pomelo.Millis
	manual   bool
	now      pomelo.Millis
	sleepers map[*sleeper]bool
}

// New returns a clock of the system's time unless an option says otherwise.
func New(opts ...func(*Clock)) *Clock {
	c := &Clock{
		wall:      systemWall,
		monotonic: systemMonotonic(),
		sleepers:  map[*sleeper]bool{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.base = c.wall() - c.monotonic()
	return c
}

// WithReaders replaces the system's wall and monotonic readings, both in milliseconds.
func WithReaders(wall, monotonic func() pomelo.Millis) func(*Clock) {
	return func(c *Clock) {
		c.wall = wall
		c.monotonic = monotonic
	}
}

// Now returns milliseconds since the Unix epoch, by the larger of the wall and the monotonic reading.
func (c *Clock) Now() pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.now
	}
	return c.system()
}

// Monotonic returns milliseconds by the monotonic reading alone.
func (c *Clock) Monotonic() pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.now
	}
	return c.monotonic()
}

// system raises base when the wall is ahead, so that a wall set back later neither turns nor stops the time.
func (c *Clock) system() pomelo.Millis {
	m := c.monotonic()
	c.base = max(c.base, c.wall()-m)
	return c.base + m
}

// Sleep returns nil after d milliseconds, or the context's error if that ends first.
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
