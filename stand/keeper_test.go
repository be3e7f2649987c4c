package stand

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

const testStanding = pomelo.Millis(400)

// network carries questions between keepers of one process.
type network struct {
	mu      sync.Mutex
	keepers map[string]*Keeper
	members []pomelo.Member
	store   *fakekv.Server
	url     string
	stops   map[string]context.CancelFunc
}

func newNetwork(t *testing.T) *network {
	n := &network{keepers: map[string]*Keeper{}, stops: map[string]context.CancelFunc{}, store: fakekv.New()}
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
	k, ok := p.network.keepers[m.Incarnation]
	p.network.mu.Unlock()
	if !ok {
		return pomelo.NewFault(pomelo.KindPeerLost, "gone", "none")
	}
	out, err := k.Answer(ctx, p.self, func(into any) error {
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

func (n *network) start(vm, incarnation string) *Keeper {
	p := port{network: n, self: pomelo.Member{VM: vm, Incarnation: incarnation, Address: vm, AvailabilityZone: vm}}
	k := New(p, kvhttp.New(n.url), p, clock.New(), logs.New(io.Discard), WithStanding(testStanding), WithWatchWait(200))
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.keepers[incarnation] = k
	n.members = append(n.members, p.self)
	n.stops[incarnation] = cancel
	n.mu.Unlock()
	go k.Run(ctx)
	return k
}

// end takes a process away, and its registry record as well.
func (n *network) end(incarnation string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops[incarnation]()
	delete(n.keepers, incarnation)
	for i, m := range n.members {
		if m.Incarnation == incarnation {
			n.members = append(n.members[:i:i], n.members[i+1:]...)
			return
		}
	}
}

func (n *network) holders(right string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for i, k := range n.keepers {
		if k.IsOwner(right) {
			out = append(out, i)
		}
	}
	return out
}

// allHeld reports whether each of the rights has a holder, none of them the one left out.
func (n *network) allHeld(without string) bool {
	for i := range 20 {
		h := n.holders(fmt.Sprint("right-", i))
		if len(h) != 1 || h[0] == without {
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
			r := n.keepers["i0"].Rosters()
			return len(r) == 1 && len(r[0].Members) == 5 && n.allHeld("")
		}), convey.ShouldBeTrue)
		convey.Convey("rights stay through a store outage, and move from a dead member after it", func() {
			n.store.SetFault(pomelo.StoreFault{Down: true})
			time.Sleep((4 * testStanding).Duration())
			convey.So(eventually(func() bool { return n.allHeld("") }), convey.ShouldBeTrue)
			n.end("i0")
			time.Sleep((2 * testStanding).Duration())
			convey.So(n.allHeld("i0"), convey.ShouldBeFalse)
			n.store.SetFault(pomelo.StoreFault{})
			convey.So(eventually(func() bool { return n.allHeld("i0") }), convey.ShouldBeTrue)
		})
		convey.Convey("rights of a member that resigns move, and it never holds one again", func() {
			n.keepers["i1"].Resign(context.Background())
			convey.So(eventually(func() bool { return n.allHeld("i1") }), convey.ShouldBeTrue)
			convey.So(n.keepers["i1"].IsOwner("right-0"), convey.ShouldBeFalse)
		})
		convey.Convey("rights are held again after all processes were replaced on their VMs at once", func() {
			for i := range 5 {
				n.end(fmt.Sprint("i", i))
			}
			for i := range 5 {
				n.start(fmt.Sprint("v", i), fmt.Sprint("j", i))
			}
			convey.So(eventually(func() bool { return n.allHeld("") }), convey.ShouldBeTrue)
		})
		convey.Convey("a store that lost the record gets it back", func() {
			before := n.keepers["i0"].Rosters()[0].Generation
			s := kvhttp.New(n.url)
			e, err := s.Get(context.Background(), pomelo.PrefixRoster+"group-0")
			convey.So(err, convey.ShouldBeNil)
			old := pomelo.Write{Key: e.Key, Value: []byte(`{"name":"group-0","generation":1}`), Expected: e.Revision}
			_, err = s.Put(context.Background(), old)
			convey.So(err, convey.ShouldBeNil)
			convey.So(eventually(func() bool {
				e, err := s.Get(context.Background(), e.Key)
				r, _ := decode(e)
				return err == nil && r.Generation >= before
			}), convey.ShouldBeTrue)
		})
	})
}
