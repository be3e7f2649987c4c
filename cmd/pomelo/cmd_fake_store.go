package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakekv"
)

func cmdFakeStore() command {
	return command{
		Name:      "fake store",
		Summary:   "runs the stand-in of the platform's key-value service",
		Arguments: "-address HOST:PORT",
		Action:    runFakeStore,
	}
}

func runFakeStore(ctx context.Context, c invocation) error {
	address := c.Flags.String("address", "127.0.0.1:7500", "the `host:port` to listen on")
	if err := c.parse(); err != nil {
		return err
	}
	s := fakekv.New()
	l, err := net.Listen("tcp", *address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadCommand, err.Error(), "choose another -address")
	}
	go func() { _ = s.Run(ctx) }()
	h := &http.Server{Handler: s, ReadHeaderTimeout: pomelo.Millis(10_000).Duration()}
	go func() {
		<-ctx.Done()
		_ = h.Close()
	}()
	fmt.Fprintln(c.Errors, "fake store on http://"+l.Addr().String())
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the store")
	}
	return nil
}
