package guard_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/guard"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/membuf"
	"github.com/smartystreets/goconvey/convey"
)

// failing is a handler that panics for the call "bad".
type failing struct{}

// Handle answers the call.
func (failing) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	if c.ID == "bad" {
		var m map[string]int
		m[c.ID] = 1
	}
	return pomelo.Answer{CallID: c.ID, Status: 200}
}

func TestGuard(t *testing.T) {
	convey.Convey("A call whose handling panics is refused as one that may have run, and logged with its id", t, func() {
		log := &membuf.Buffer{}
		h := guard.New(logs.New(log)).Handler(failing{})
		a := h.Handle(context.Background(), pomelo.Call{ID: "bad"})
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindInternal)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		convey.So(log.String(), convey.ShouldContainSubstring, "event=panic_recovered where=call request=bad")
		convey.So(log.String(), convey.ShouldContainSubstring, "guard_test.go")
		convey.So(h.Handle(context.Background(), pomelo.Call{ID: "good"}).Status, convey.ShouldEqual, 200)
	})
}
