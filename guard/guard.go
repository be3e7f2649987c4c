package guard

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/pomeloworks/pomelo"
)

// maxStackBytes bounds the stack in the log.
const maxStackBytes = 4 << 10

// Guard runs functions and recovers their panics, each of which it logs with its stack.
type Guard struct {
	log pomelo.Logger
}

// New returns a guard that logs panics.
func New(log pomelo.Logger) *Guard {
	return &Guard{log: log}
}

// Run runs f on behalf of the request with this id, which may be empty, and reports whether f returned; where names the part of the process.
func (g *Guard) Run(where, id string, f func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		cause := recover()
		stack := debug.Stack()
		g.log.Warn("panic_recovered", "where", where, "request", id, "error", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	}()
	f()
	return true
}

// Handler returns a handler that passes calls to next, and refuses a call whose handling panics as one that may have run.
func (g *Guard) Handler(next pomelo.Handler) pomelo.Handler {
	return handler{guard: g, next: next}
}

type handler struct {
	guard *Guard
	next  pomelo.Handler
}

// Handle passes the call on.
func (h handler) Handle(ctx context.Context, c pomelo.Call) (a pomelo.Answer) {
	a = pomelo.Refuse(c.ID, Fault())
	h.guard.Run("call", c.ID, func() { a = h.next.Handle(ctx, c) })
	return a
}

// Fault returns the fault of a request whose handling panicked.
func Fault() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindInternal, "the handling of the request ended unexpectedly", "look for panic_recovered with the request's id in the node's log")
	f.Ran = pomelo.RanUnknown
	return f
}
