package main

import (
	"context"

	"github.com/pomeloworks/pomelo/demo"
)

func cmdDemo() command {
	return command{
		Name:    "demo",
		Summary: "runs a small fleet with load in this process, and ends by itself with a report",
		Action: func(ctx context.Context, c invocation) error {
			if err := c.parse(); err != nil {
				return err
			}
			return demo.New().Run(ctx, c.Output)
		},
	}
}
