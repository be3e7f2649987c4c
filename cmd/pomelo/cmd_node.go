package main

import (
	"context"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/wiring"
)

// drainTimeout limits how long a planned stop takes; calls have their own, shorter deadlines.
const drainTimeout = pomelo.Millis(120_000)

func cmdNode() command {
	return command{
		Name:      "node",
		Summary:   "runs the node beside an upstream until SIGTERM, then drains it",
		Arguments: "-settings FILE",
		Action:    runNode,
	}
}

func runNode(ctx context.Context, c invocation) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	limitMemory(settings.Limits.MemoryMB << 20)
	n, err := wiring.New(settings, wiring.WithOutput(c.Errors))
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout.Duration())
	defer cancel()
	return n.Stop(drainCtx)
}
