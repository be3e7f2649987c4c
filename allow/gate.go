package allow

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Gate implements pomelo.Gate without a limit.
type Gate struct{}

// New returns a gate that admits everything.
func New() *Gate {
	return &Gate{}
}

// Acquire admits the call; its error is always nil.
func (g *Gate) Acquire(context.Context, pomelo.Call) (pomelo.Permit, error) {
	return pass{}, nil
}

// SetCapacity ignores the announced slots and connections.
func (g *Gate) SetCapacity(int, int) {}

// ShedThreshold is always 0: nothing is shed.
func (g *Gate) ShedThreshold(string) float64 {
	return 0
}

type pass struct{}

func (pass) Release(pomelo.Millis, bool) {}

func (pass) SetWaiting(bool) {}
