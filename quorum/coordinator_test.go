package quorum

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/smartystreets/goconvey/convey"
)

const testOwnershipTTL = pomelo.Millis(400)

// network delivers heartbeats between nodes of one test process.
type network struct {
	mu           sync.Mutex
	coordinators map[string]*Coordinator
	members      []pomelo.Member
	store        *fakekv.Server
	url          string
	stops        map[string]context.CancelFunc
}

func newNetwork(t *testing.T) *network {
	n := &network{coordinators: map[string]*Coordinator{}, stops: map[string]context.CancelFunc{}, store: fakekv.New()}
	h := httptest.NewServer(n.store)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.store.Run(ctx) }()
	n.url = h.URL
	t.Cleanup(func() {
		n.mu.Lock()
		for _, stop := range n.stops {
			stop()
		}
		n.mu.Unlock()
		cancel()
		h.Close()
	})
	return n
}

type port struct {
	network *network
	self    pomelo.Member
}

func (p port) Request(ctx context.Context, m pomelo.Member, _ pomelo.MessageKind, request, reply any) error {
	p.network.mu.Lock()
	c, ok := p.network.coordinators[m.Incarnation]
	p.network.mu.Unlock()
	if !ok {
		return pomelo.NewFault(pomelo.KindPeerLost, "gone", "none")
	}
	out, err := c.Answer(ctx, p.self, func(into any) error {
		*into.(*pomelo.RosterHeartbeat) = request.(pomelo.RosterHeartbeat)
		return nil
	})
	if err != nil {
		return err
	}
	*reply.(*pomelo.RosterHeartbeatReply) = out.(pomelo.RosterHeartbeatReply)
	return nil
}

func (p port) Self() pomelo.Member            { return p.self }
func (p port) Serving(string) []pomelo.Member { return nil }
func (p port) ByFingerprint(string) (pomelo.Member, bool) {
	return pomelo.Member{}, false
}

func (p port) All() []pomelo.Member {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return append([]pomelo.Member(nil), p.network.members...)
}

func (n *network) start(vm, incarnation string) *Coordinator {
	p := port{network: n, self: pomelo.Member{VM: vm, Incarnation: incarnation, Address: vm, AvailabilityZone: vm}}
	c := New(p, kvhttp.New(n.url), p, clock.New(), logs.New(io.Discard), WithOwnershipTTL(testOwnershipTTL), WithWatchWait(200))
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.coordinators[incarnation] = c
	n.members = append(n.members, p.self)
	n.stops[incarnation] = cancel
	n.mu.Unlock()
	go c.Run(ctx)
	return c
}

// stop stops a process and removes its member record.
func (n *network) stop(incarnation string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops[incarnation]()
	delete(n.coordinators, incarnation)
	for i, m := range n.members {
		if m.Incarnation == incarnation {
			n.members = append(n.members[:i:i], n.members[i+1:]...)
			return
		}
	}
}

func (n *network) owners(resource string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for i, c := range n.coordinators {
		if c.IsOwner(resource) {
			out = append(out, i)
		}
	}
	return out
}

// allOwned reports whether each resource has exactly one owner other than the excluded process.
func (n *network) allOwned(excluded string) bool {
	for i := range 20 {
		owners := n.owners(fmt.Sprint("right-", i))
		if len(owners) != 1 || owners[0] == excluded {
			return false
		}
	}
	return true
}

func eventually(f func() bool) bool {
	for range 3_000 {
		if f() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestKeeper(t *testing.T) {
	convey.Convey("Given five nodes and their roster", t, func() {
		n := newNetwork(t)
		for i := range 5 {
			n.start(fmt.Sprint("v", i), fmt.Sprint("i", i))
		}
		convey.So(eventually(func() bool {
			r := n.coordinators["i0"].Rosters()
			return len(r) == 1 && len(r[0].Members) == 5 && n.allOwned("")
		}), convey.ShouldBeTrue)
		convey.Convey("owners stay through a store outage, and a dead member's resources move after it", func() {
			n.store.SetFault(pomelo.StoreFault{Down: true})
			time.Sleep((4 * testOwnershipTTL).Duration())
			convey.So(eventually(func() bool { return n.allOwned("") }), convey.ShouldBeTrue)
			n.stop("i0")
			time.Sleep((2 * testOwnershipTTL).Duration())
			convey.So(n.allOwned("i0"), convey.ShouldBeFalse)
			n.store.SetFault(pomelo.StoreFault{})
			convey.So(eventually(func() bool { return n.allOwned("i0") }), convey.ShouldBeTrue)
		})
		convey.Convey("resources of a member that resigns move, and it owns none again", func() {
			n.coordinators["i1"].Resign(context.Background())
			convey.So(eventually(func() bool { return n.allOwned("i1") }), convey.ShouldBeTrue)
			convey.So(n.coordinators["i1"].IsOwner("right-0"), convey.ShouldBeFalse)
		})
		convey.Convey("resources have owners again after all processes were replaced on their VMs at once", func() {
			for i := range 5 {
				n.stop(fmt.Sprint("i", i))
			}
			for i := range 5 {
				n.start(fmt.Sprint("v", i), fmt.Sprint("j", i))
			}
			convey.So(eventually(func() bool { return n.allOwned("") }), convey.ShouldBeTrue)
		})
		convey.Convey("a store that returned to an older record gets the newest one again", func() {
			generation := n.coordinators["i0"].Rosters()[0].Generation
			s := kvhttp.New(n.url)
			record, err := s.Get(context.Background(), pomelo.PrefixRoster+"group-0")
			convey.So(err, convey.ShouldBeNil)
			old := pomelo.Write{Key: record.Key, Value: []byte(`{"name":"group-0","generation":1}`), Expected: record.Revision}
			_, err = s.Put(context.Background(), old)
			convey.So(err, convey.ShouldBeNil)
			convey.So(eventually(func() bool {
				record, err := s.Get(context.Background(), record.Key)
				r, _ := decode(record)
				return err == nil && r.Generation >= generation
			}), convey.ShouldBeTrue)
		})
	})
}
