package mesh_test

import (
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/mesh"
	"github.com/smartystreets/goconvey/convey"
)

// fullPipe is a log's reader that stands still.
type fullPipe struct{ closed chan struct{} }

// Write blocks until the end of the test.
func (p fullPipe) Write(b []byte) (int, error) {
	<-p.closed
	return len(b), nil
}

// TestStopWithStandingLogReader guards against a process that is killed at the end of its grace period because nobody reads its log.
func TestStopWithStandingLogReader(t *testing.T) {
	convey.Convey("A planned stop ends within its grace period though nobody reads the log", t, func() {
		p := fullPipe{closed: make(chan struct{})}
		defer close(p.closed)
		f := newFleet(t, 1, func(f *fleet) { f.options = []func(*mesh.Node){mesh.WithOutput(p)} })
		f.waitReady()
		a := f.nodes[0]
		stopped := make(chan struct{})
		go func() {
			a.node.Stop()
			close(stopped)
		}()
		ended := false
		select {
		case <-stopped:
			ended = true
		case <-time.After(a.settings.DrainGrace.Duration()):
		}
		convey.So(ended, convey.ShouldBeTrue)
	})
}
