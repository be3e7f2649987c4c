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
	done    []string
	running int
}

func (f *fakeDrainer) Drain(context.Context)  { f.done = append(f.done, "drain") }
func (f *fakeDrainer) Resume(context.Context) { f.done = append(f.done, "resume") }
func (f *fakeDrainer) RejectNewCalls()        { f.done = append(f.done, "shut") }
func (f *fakeDrainer) Running() int           { return f.running }

// moment is what holds at a time in milliseconds; the steps of the cycle are taken one a moment.
type moment struct {
	at        pomelo.Millis
	running   int
	stop      pomelo.Stop
	terminate bool
}

func TestCycle(t *testing.T) {
	stop := pomelo.Stop{VM: "a", At: 20_000}
	withdrawn := pomelo.Stop{VM: "a", At: 20_000, Withdrawn: true}
	cases := []struct {
		name    string
		moments []moment
		done    string
		state   string
	}{
		{"nothing planned", []moment{{at: 0}, {at: 90_000}}, "[]", stateServing},
		{"planned and not due", []moment{{at: 0, stop: stop}, {at: 9_999, stop: stop}}, "[]", stateServing},
		{"due, still in the grace time", []moment{{at: 10_000, stop: stop}, {at: 10_999, stop: stop}}, "[drain]", stateDraining},
		{"closed while calls run", []moment{{at: 10_000, stop: stop}, {at: 11_000, running: 2, stop: stop}}, "[drain shut]", stateClosed},
		{"stops when idle", []moment{{at: 10_000, stop: stop}, {at: 11_000, running: 2, stop: stop}, {at: 11_100, stop: stop}}, "[drain shut]", stateStopping},
		{"withdrawn while draining", []moment{{at: 10_000, stop: stop}, {at: 10_500, stop: withdrawn}}, "[drain resume]", stateServing},
		{"withdrawn while closed", []moment{{at: 10_000, stop: stop}, {at: 11_000, running: 1, stop: stop}, {at: 11_500, running: 1, stop: withdrawn}}, "[drain shut resume]", stateServing},
		{"withdrawn too late", []moment{{at: 10_000, stop: stop}, {at: 11_000, stop: stop}, {at: 11_100, stop: withdrawn}}, "[drain shut]", stateStopping},
		{"terminated, whatever is withdrawn", []moment{{at: 0, terminate: true}, {at: 500, stop: withdrawn}, {at: 1_000}}, "[drain shut]", stateStopping},
		{"already past", []moment{{at: 90_000, stop: stop}}, "[drain]", stateDraining},
	}
	for _, c := range cases {
		convey.Convey("A node's life: "+c.name, t, func() {
			k := clock.New(clock.WithManual(0))
			f := &fakeDrainer{}
			var now moment
			y := New(k, f, func() (pomelo.Stop, bool) { return now.stop, now.stop.VM != "" }, logs.New(io.Discard), WithGrace(1_000), WithLead(10_000))
			y.machine = chart.Must("node_life.ini", nodeLife).Machine(func(from, to string) { y.enter(context.Background(), from, to) })
			for _, m := range c.moments {
				k.Advance(m.at - k.Now())
				now = m
				f.running = m.running
				if m.terminate {
					y.Terminate()
				}
				y.step()
			}
			convey.So(fmt.Sprint(f.done), convey.ShouldEqual, c.done)
			convey.So(y.state, convey.ShouldEqual, c.state)
		})
	}
}
