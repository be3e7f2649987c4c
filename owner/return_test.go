package owner_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const resources = 8

// youngPeriod is the time, in milliseconds, after which members that do not come back with the store are dropped.
const youngPeriod = maxListAge + 500

// actingOwners returns the VMs whose processes would act on the resource now.
func actingOwners(names []string, peers map[string]*peer, resource int) []string {
	var out []string
	for _, name := range names {
		if peers[name].tracker.IsOwner(fmt.Sprint("right-", resource)) {
			out = append(out, name)
		}
	}
	return out
}

// returnRun is a fleet of four members under random faults.
type returnRun struct {
	clock  *clock.Clock
	store  *returningStore
	names  []string
	peers  map[string]*peer
	starts int
	trace  string
}

func newReturnRun() *returnRun {
	k := clock.New(clock.WithManual(100_000))
	r := &returnRun{clock: k, store: newReturningStore(k), names: []string{"a", "b", "c", "d"}, peers: map[string]*peer{}}
	for _, name := range r.names {
		r.start(name)
	}
	return r
}

func (r *returnRun) start(name string) {
	r.starts++
	r.peers[name] = newPeer(r.store, name, r.starts)
	r.peers[name].sync(false)
}

// round lets every member do what it does twice a second.
func (r *returnRun) round() {
	for _, name := range r.names {
		p := r.peers[name]
		p.announce(false)
		p.sync(false)
		p.confirm(r.peers)
	}
}

// step does one thing at a member, or injects a fault.
func (r *returnRun) step(t *rapid.T) {
	n := r.peers[rapid.SampledFrom(r.names).Draw(t, "node")]
	step := rapid.IntRange(0, 19).Draw(t, "step")
	switch step {
	case 0:
		n.isCut = !n.isCut
	case 1:
		r.store.takeCopy()
	case 2:
		r.store.restore(pomelo.Millis(rapid.IntRange(0, 20_000).Draw(t, "age")))
	case 3:
		n.self.SetDraining(!n.self.Draining)
	case 4:
		r.start(n.self.VM)
	case 5, 6:
		n.relay(r.peers[rapid.SampledFrom(r.names).Draw(t, "from")])
	case 7, 8:
		n.confirm(r.peers)
	case 9:
		n.announce(true)
	case 10, 11, 12:
		n.announce(false)
	case 13:
		n.sync(true)
	case 14, 15:
		r.round()
	default:
		n.sync(false)
	}
	r.trace += fmt.Sprintf("%d %s step %d epoch %d\n", r.clock.Monotonic(), n.self.VM, step, r.store.epoch)
}

func (r *returnRun) advance(d pomelo.Millis) {
	r.clock.Advance(d)
	r.store.expireLeases()
}

// TestExclusiveOverReturns lets the store return from copies of 0 to 20 s while members are cut off, restarted, drained and write their records; no resource may ever have two owners.
func TestExclusiveOverReturns(t *testing.T) {
	_ = flag.Set("rapid.seed", "1")
	rapid.Check(t, func(t *rapid.T) {
		r := newReturnRun()
		for range rapid.IntRange(0, 25).Draw(t, "calm rounds") {
			r.round()
			r.advance(500)
			if rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
				r.store.takeCopy()
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step(t)
			r.advance(pomelo.Millis(rapid.IntRange(1, 900).Draw(t, "wait")))
			for resource := range resources {
				if owners := actingOwners(r.names, r.peers, resource); len(owners) > 1 {
					t.Fatalf("resource %d has owners %v:\n%s", resource, owners, r.trace)
				}
			}
		}
	})
}

// TestOwnersOverReturn replays a return after a short absence: every member notices within a second and writes its record again.
func TestOwnersOverReturn(t *testing.T) {
	convey.Convey("Owners act on without a break over a return of the store that lacks all of their records, and nobody leaves", t, func() {
		k := clock.New(clock.WithManual(100_000))
		s := newReturningStore(k)
		s.takeCopy()
		names := []string{"a", "b", "c"}
		peers := map[string]*peer{}
		for i, name := range names {
			peers[name] = newPeer(s, name, i)
			peers[name].sync(false)
		}
		round := func() {
			for _, name := range names {
				peers[name].announce(false)
				peers[name].sync(false)
				peers[name].confirm(peers)
			}
			k.Advance(500)
			s.expireLeases()
		}
		for range 12 {
			round()
		}
		for r := range resources {
			convey.So(len(actingOwners(names, peers, r)), convey.ShouldEqual, 1)
		}
		k.Advance(1_000)
		s.restore(0)
		for range 30 {
			for r := range resources {
				convey.So(len(actingOwners(names, peers, r)), convey.ShouldEqual, 1)
			}
			for _, name := range names {
				convey.So(len(peers[name].census.Usable()), convey.ShouldEqual, len(names))
			}
			round()
		}
	})
}

// TestDropsInDifferentOrder guards against cases that TestExclusiveOverReturns found: members drop one that does not come back at times of their own, and another member's record in between does not show who acted.
func TestDropsInDifferentOrder(t *testing.T) {
	scenarios := map[string]struct{ before, after func(p *peer) }{
		"stops draining when d is dropped": {
			before: func(p *peer) { p.self.SetDraining(true) },
			after:  func(p *peer) { p.self.SetDraining(false) },
		},
		"was cut off until d is dropped": {
			before: func(p *peer) { p.sync(false); p.isCut = true },
			after:  func(p *peer) { p.isCut = false },
		},
	}
	for name, s := range scenarios {
		convey.Convey("No resource has two owners if d does not come back with the store and b "+name, t, func() {
			r := newReturnRun()
			for range 20 {
				r.round()
				r.advance(500)
			}
			r.store.takeCopy()
			r.store.restore(0)
			s.before(r.peers["b"])
			r.peers["d"].isCut = true
			r.round()
			r.advance(youngPeriod)
			s.after(r.peers["b"])
			r.round()
			r.advance(1)
			for resource := range 64 {
				convey.So(len(actingOwners(r.names, r.peers, resource)), convey.ShouldBeLessThanOrEqualTo, 1)
			}
		})
	}
}
