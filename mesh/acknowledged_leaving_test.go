package mesh_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/smartystreets/goconvey/convey"
)

// leavingForms are the ways in which an upstream says that it leaves; each returns the status of the answer.
var leavingForms = []struct {
	name string
	tell func(m *member) int
}{
	{"deregisters", func(m *member) int { return m.deregister() }},
	{"deregisters without its start", func(m *member) int { return m.deregisterWith("") }},
	{"says that it drains", func(m *member) int { return m.heartbeat("draining", 100_000) }},
}

// storeForms are stores of different speed; one that executes calls whose connection has ended, and one that does not.
var storeForms = []struct {
	name     string
	delay    time.Duration
	executes bool
}{
	{"a store that takes 4 ms", 4 * time.Millisecond, true},
	{"a store that takes 100 ms", 100 * time.Millisecond, true},
	{"a store that takes 100 ms and drops calls whose connection has ended", 100 * time.Millisecond, false},
}

// slowStore delays each call of the store but watches.
func slowStore(delay time.Duration, executes bool) func(*fleet) {
	return func(f *fleet) {
		f.wrapStore = func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/kv-watch" {
					time.Sleep(delay)
					if !executes && r.Context().Err() != nil {
						return
					}
				}
				h.ServeHTTP(w, r)
			})
		}
	}
}

// silentStore leaves calls without an answer and without an effect while silent is set.
func silentStore(silent *atomic.Bool) func(*fleet) {
	return func(f *fleet) {
		f.wrapStore = func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !silent.Load() {
					h.ServeHTTP(w, r)
					return
				}
				for silent.Load() {
					time.Sleep(5 * time.Millisecond)
				}
				panic(http.ErrAbortHandler)
			})
		}
	}
}

// leavingPlay is a fleet whose first upstream leaves, with its name in the report.
type leavingPlay struct {
	name  string
	fleet *fleet
	tell  func(m *member) int
	// all nodes are killed, and not only that of the upstream.
	all bool
	// unknown upstreams have sent no heartbeat to the process that acknowledges.
	unknown bool
	status  int
}

func newLeavingPlays(t *testing.T) []*leavingPlay {
	var plays []*leavingPlay
	for i, x := range storeForms {
		for _, y := range leavingForms {
			f := newFleet(t, 2, slowStore(x.delay, x.executes))
			plays = append(plays, &leavingPlay{name: "an upstream " + y.name + " beside " + x.name, fleet: f, tell: y.tell, all: i == 0})
		}
	}
	for _, y := range leavingForms[:2] {
		f := newFleet(t, 2, slowStore(4*time.Millisecond, true))
		plays = append(plays, &leavingPlay{name: "an unknown upstream " + y.name, fleet: f, tell: y.tell, unknown: true})
	}
	return plays
}

// play has the upstream leave, and kills its node as soon as that was answered.
func (p *leavingPlay) play() {
	f := p.fleet
	if p.unknown {
		for i := 1; !f.nodes[1].serves("/b/x", fmt.Sprint(p.name, i)); i++ {
			_ = f.nodes[1].heartbeat("ready", i)
			time.Sleep(5 * time.Millisecond)
		}
	}
	p.status = p.tell(f.nodes[0])
	killed := f.nodes[:1]
	if p.all {
		killed = f.nodes
	}
	for _, m := range killed {
		m.node.Kill()
	}
	for _, m := range killed {
		_ = f.start(m)
	}
}

func (m *member) serves(path, id string) bool {
	s, _ := m.send("POST", path, id, "order")
	return s == http.StatusOK
}

// TestAcknowledgedLeaving guards against DRAIN: the leaving of an upstream was acknowledged by a process that was killed before it had recorded that, and a late heartbeat brings the upstream back.
func TestAcknowledgedLeaving(t *testing.T) {
	convey.Convey("An upstream whose leaving was acknowledged gets no request once its node was killed, however late an earlier heartbeat arrives", t, func() {
		plays := newLeavingPlays(t)
		for _, p := range plays {
			if !p.unknown {
				p.fleet.waitReady()
			}
		}
		var playing sync.WaitGroup
		for _, p := range plays {
			playing.Go(p.play)
		}
		playing.Wait()
		from := time.Now()
		for _, p := range plays {
			convey.So([]any{p.name, p.status}, convey.ShouldResemble, []any{p.name, http.StatusOK})
		}
		late := []time.Duration{0, 2 * time.Second, 6 * time.Second, 15 * time.Second}
		before := map[*leavingPlay]int64{}
		for _, p := range plays {
			before[p] = p.fleet.nodes[0].upstream.executions.Load()
		}
		for n := 0; time.Since(from) < 17*time.Second; n++ {
			if len(late) > 0 && time.Since(from) >= late[0] {
				late = late[1:]
				for _, p := range plays {
					_ = p.fleet.nodes[0].heartbeat("ready", 50_000+n)
				}
			}
			for _, p := range plays {
				playing.Go(func() {
					_ = p.fleet.nodes[1].heartbeat("ready", 200_000+n)
					for _, m := range p.fleet.nodes {
						_, _ = m.send("POST", "/b/x", fmt.Sprint(p.name, "-", m.settings.VM, "-", n), "order")
					}
				})
			}
			playing.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		for _, p := range plays {
			arrived := p.fleet.nodes[0].upstream.executions.Load() - before[p]
			convey.So(fmt.Sprint(p.name, ": ", arrived), convey.ShouldEqual, p.name+": 0")
			convey.So(eventually(func() bool { return p.fleet.nodes[1].serves("/b/x", p.name) }), convey.ShouldBeTrue)
		}
	})
}

// TestLeavingWhileStoreIsAway guards against an acknowledgement of what only the memory of one process holds.
func TestLeavingWhileStoreIsAway(t *testing.T) {
	const silence = "does not answer"
	faults := map[string]fake.Fault{
		"refuses":       {Status: http.StatusServiceUnavailable},
		"loses answers": {DropResponses: true},
		silence:         {},
	}
	for name, fault := range faults {
		for _, form := range leavingForms {
			convey.Convey("While the store "+name+", an upstream that "+form.name+" gets an answer within a second, and no request", t, func() {
				var silent atomic.Bool
				f := newFleet(t, 2, silentStore(&silent))
				f.waitReady()
				a := f.nodes[0]
				f.setStoreFault(fault)
				silent.Store(name == silence)
				defer silent.Store(false)
				before := a.upstream.executions.Load()
				startedAt := time.Now()
				status := form.tell(a)
				convey.So(time.Since(startedAt), convey.ShouldBeLessThan, time.Second)
				if !fault.DropResponses {
					convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
				}
				for n := range 20 {
					_, _ = f.nodes[n%2].send("POST", "/b/x", fmt.Sprint("away", n), "order")
				}
				convey.So(a.upstream.executions.Load(), convey.ShouldEqual, before)
				f.setStoreFault(fake.Fault{})
				silent.Store(false)
				convey.So(eventually(func() bool { return form.tell(a) == http.StatusOK }), convey.ShouldBeTrue)
				convey.So(form.tell(a), convey.ShouldEqual, http.StatusOK)
			})
		}
	}
}

// TestNewStartBehindLeaving guards against a new start that waits for the record of the leaving before it.
func TestNewStartBehindLeaving(t *testing.T) {
	convey.Convey("A new start right behind the deregistration is used while that still waits for the store, and both are acknowledged", t, func() {
		f := newFleet(t, 1, slowStore(100*time.Millisecond, true))
		f.waitReady()
		a := f.nodes[0]
		var leaving sync.WaitGroup
		status := 0
		leaving.Go(func() { status = a.deregister() })
		time.Sleep(10 * time.Millisecond)
		a.upstream.startedAt.Store(2)
		convey.So(a.heartbeat("ready", 1), convey.ShouldEqual, http.StatusOK)
		startedAt := time.Now()
		convey.So(eventually(func() bool { return a.serves("/b/x", "new start") }), convey.ShouldBeTrue)
		convey.So(time.Since(startedAt), convey.ShouldBeLessThan, 90*time.Millisecond)
		leaving.Wait()
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.Convey("also after a restart of the node, by its record", func() {
			convey.So(a.deregister(), convey.ShouldEqual, http.StatusOK)
			f.restart(a)
			convey.So(eventually(func() bool { return a.serves("/b/x", "restarted") }), convey.ShouldBeTrue)
		})
	})
}

// TestLeavingDuringStop guards against a leaving that a stopping process acknowledges without having recorded it.
func TestLeavingDuringStop(t *testing.T) {
	convey.Convey("A process that stops while the store is away acknowledges no leaving", t, func() {
		var silent atomic.Bool
		f := newFleet(t, 2, silentStore(&silent))
		f.waitReady()
		a := f.nodes[0]
		silent.Store(true)
		defer silent.Store(false)
		var stopping sync.WaitGroup
		stopping.Go(a.node.Stop)
		convey.So(a.deregister(), convey.ShouldNotEqual, http.StatusOK)
		stopping.Wait()
		silent.Store(false)
		convey.So(a.deregister(), convey.ShouldEqual, 0)
	})
}
