package load

import (
	"context"
	"time"

	"github.com/pomeloworks/pomelo"
)

type systemClock struct{}

// Now returns milliseconds since the Unix epoch.
func (systemClock) Now() pomelo.Millis { return pomelo.Millis(time.Now().UnixMilli()) }

// Sleep returns the context's error if it ends before d milliseconds have passed.
func (systemClock) Sleep(ctx context.Context, d pomelo.Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
