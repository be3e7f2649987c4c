package allow

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Limiter implements pomelo.ConcurrencyLimiter without a limit.
type Limiter struct{}

// New returns a Limiter that admits every call.
func New() *Limiter {
	return &Limiter{}
}

// Acquire admits the call; its error is always nil.
func (l *Limiter) Acquire(context.Context, pomelo.Call) (pomelo.Permit, error) {
	return permit{}, nil
}

// SetCapacity ignores the upstream's slots and connections.
func (l *Limiter) SetCapacity(int, int) {}

// ShedThreshold always returns 0: nothing is shed.
func (l *Limiter) ShedThreshold(string) float64 {
	return 0
}

type permit struct{}

func (permit) Release(pomelo.Millis, bool) {}

func (permit) SetWaiting(bool) {}
