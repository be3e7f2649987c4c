package simclk

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Clock implements pomelo.Clock in simulated time, which starts at 0 and advances at each sleep.
type Clock struct {
	mu    sync.Mutex
	now   pomelo.Millis
	endAt pomelo.Millis
	onEnd func()
}

// New returns a clock that calls onEnd at each sleep that takes the time to endAt, in milliseconds, or past it.
func New(endAt pomelo.Millis, onEnd func()) *Clock {
	return &Clock{endAt: endAt, onEnd: onEnd}
}

// Now returns the simulated time in milliseconds.
func (c *Clock) Now() pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Sleep advances the time by d and returns the context's error at once.
func (c *Clock) Sleep(ctx context.Context, d pomelo.Millis) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
	if c.now >= c.endAt {
		c.onEnd()
	}
	return ctx.Err()
}
