package main

import (
	"context"
	"fmt"

	"github.com/pomeloworks/pomelo"
)

func cmdVersion() command {
	return command{
		Name:    "version",
		Summary: "prints the version",
		Action: func(_ context.Context, c invocation) error {
			_, err := fmt.Fprintln(c.Output, pomelo.Version())
			return err
		},
	}
}
