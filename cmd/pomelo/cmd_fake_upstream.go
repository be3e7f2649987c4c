package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakeup"
)

func cmdFakeUpstream() command {
	return command{
		Name:      "fake upstream",
		Summary:   "runs the stand-in of an upstream",
		Arguments: "-spec FILE.json",
		Action:    runFakeUpstream,
	}
}

func runFakeUpstream(ctx context.Context, c invocation) error {
	path := c.Flags.String("spec", "", "a JSON `file` with the upstream's description")
	if err := c.parse(); err != nil {
		return err
	}
	b, err := os.ReadFile(*path)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadCommand, err.Error(), "pass -spec with a readable file")
	}
	var spec pomelo.FakeUpstream
	if err := json.Unmarshal(b, &spec); err != nil {
		return pomelo.NewFault(pomelo.KindBadCommand, *path+": "+err.Error(), "see docs/pomelo_fake_upstream.md for the fields")
	}
	s := fakeup.New(spec)
	go func() {
		<-s.Ready()
		fmt.Fprintln(c.Errors, "fake upstream of "+spec.Service+" on "+s.Addr())
	}()
	return errors.Wrap(s.Run(ctx), "run the upstream")
}
