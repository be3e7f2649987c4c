package life

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/chart"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/smartystreets/goconvey/convey"
)

type fakeDrainer struct {
	calls   []string
	running int
}

func (f *fakeDrainer) Drain(context.Context)  { f.calls = append(f.calls, "drain") }
func (f *fakeDrainer) Resume(context.Context) { f.calls = append(f.calls, "resume") }
func (f *fakeDrainer) RejectNewCalls()        { f.calls = append(f.calls, "shut") }
func (f *fakeDrainer) Running() int           { return f.running }

// step is the input of one step of the life cycle; at is in milliseconds.
type step struct {
	at        pomelo.Millis
	running   int
	stop      pomelo.Stop
	terminate bool
}

func TestCycle(t *testing.T) {
	stop := pomelo.Stop{VM: "a", At: 20_000}
	withdrawn := pomelo.Stop{VM: "a", At: 20_000, Withdrawn: true}
	cases := []struct {
		name  string
		steps []step
		calls string
		state string
	}{
		{"nothing planned", []step{{at: 0}, {at: 90_000}}, "[]", stateServing},
		{"planned and not due", []step{{at: 0, stop: stop}, {at: 9_999, stop: stop}}, "[]", stateServing},
		{"due, within the grace period", []step{{at: 10_000, stop: stop}, {at: 10_999, stop: stop}}, "[drain]", stateDraining},
		{"closed while calls run", []step{{at: 10_000, stop: stop}, {at: 11_000, running: 2, stop: stop}}, "[drain shut]", stateClosed},
		{"stops when idle", []step{{at: 10_000, stop: stop}, {at: 11_000, running: 2, stop: stop}, {at: 11_100, stop: stop}}, "[drain shut]", stateStopping},
		{"withdrawn while draining", []step{{at: 10_000, stop: stop}, {at: 10_500, stop: withdrawn}}, "[drain resume]", stateServing},
		{"withdrawn while closed", []step{{at: 10_000, stop: stop}, {at: 11_000, running: 1, stop: stop}, {at: 11_500, running: 1, stop: withdrawn}}, "[drain shut resume]", stateServing},
		{"withdrawn too late", []step{{at: 10_000, stop: stop}, {at: 11_000, stop: stop}, {at: 11_100, stop: withdrawn}}, "[drain shut]", stateStopping},
		{"terminated, whatever is withdrawn", []step{{at: 0, terminate: true}, {at: 500, stop: withdrawn}, {at: 1_000}}, "[drain shut]", stateStopping},
		{"planned for a past time", []step{{at: 90_000, stop: stop}}, "[drain]", stateDraining},
	}
	for _, c := range cases {
		convey.Convey("Life cycle of a node: "+c.name, t, func() {
			k := clock.New(clock.WithManual(0))
			f := &fakeDrainer{}
			var current step
			y := New(k, f, func() (pomelo.Stop, bool) { return current.stop, current.stop.VM != "" }, logs.New(io.Discard), WithGracePeriod(1_000), WithDrainLead(10_000))
			y.machine = chart.MustLoad("node_life.ini", nodeLife).NewMachine(func(from, to string) { y.onTransition(context.Background(), from, to) })
			for _, s := range c.steps {
				k.Advance(s.at - k.Now())
				current = s
				f.running = s.running
				if s.terminate {
					y.Terminate()
				}
				y.step()
			}
			convey.So(fmt.Sprint(f.calls), convey.ShouldEqual, c.calls)
			convey.So(y.state, convey.ShouldEqual, c.state)
		})
	}
}
