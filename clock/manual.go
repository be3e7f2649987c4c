package clock

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

type sleeper struct {
	wakeAt pomelo.Millis
	done   chan struct{}
}

// WithManual makes a clock that stays at start, in milliseconds since the Unix epoch, until Advance is called.
func WithManual(start pomelo.Millis) func(*Clock) {
	return func(c *Clock) {
		c.manual = true
		c.manualNow = start
	}
}

// Advance moves a manual clock d milliseconds forward and wakes the sleepers that are due; it has no effect on other clocks.
func (c *Clock) Advance(d pomelo.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.manual || d <= 0 {
		return
	}
	c.manualNow += d
	for s := range c.sleepers {
		if s.wakeAt <= c.manualNow {
			delete(c.sleepers, s)
			close(s.done)
		}
	}
}

// Sleepers returns the number of Sleep calls that wait for Advance.
func (c *Clock) Sleepers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sleepers)
}

func (c *Clock) sleepManual(ctx context.Context, d pomelo.Millis) error {
	s := c.addSleeper(d)
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		c.dropSleeper(s)
		return ctx.Err()
	}
}

func (c *Clock) addSleeper(d pomelo.Millis) *sleeper {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &sleeper{wakeAt: c.manualNow + d, done: make(chan struct{})}
	c.sleepers[s] = true
	return s
}

func (c *Clock) dropSleeper(s *sleeper) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sleepers, s)
}
