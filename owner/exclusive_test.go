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

// lease is the minimum lifetime of a record, in milliseconds; nodes never remove their own.
const lease = pomelo.Millis(6_000)

// simulation is a store with the history of its member lists, and the members that watch it.
type simulation struct {
	clock *clock.Clock
	names []string
	nodes map[string]*node
	// position is the number of lists in history that each VM has read.
	position map[string]int
	// records are the store's member records; expiresAt is the monotonic time from which each may expire.
	records   map[string]pomelo.Member
	expiresAt map[string]pomelo.Millis
	starts    int
	history   [][]pomelo.Member
}

func newSimulation() *simulation {
	s := &simulation{
		clock:     clock.New(clock.WithManual(100_000)),
		names:     []string{"a", "b", "c", "d"},
		nodes:     map[string]*node{},
		position:  map[string]int{},
		records:   map[string]pomelo.Member{},
		expiresAt: map[string]pomelo.Millis{},
	}
	for _, name := range s.names {
		s.start(name)
		s.write(s.nodes[name])
	}
	return s
}

// start replaces the VM's process by a new one.
func (s *simulation) start(name string) {
	n := newNode(s.clock, name)
	s.starts++
	n.self.Incarnation = fmt.Sprint(name, "-", s.starts)
	n.leaseExpiresAt = 0
	s.nodes[name] = n
}

// write renews the node's lease, or starts a new term with a new lease if it has expired, and writes the node's record.
func (s *simulation) write(n *node) {
	name := n.self.VM
	r, ok := s.records[name]
	if n.leaseExpiresAt > 0 && (!ok || r.Incarnation != n.self.Incarnation) {
		n.self.Resign()
	}
	n.self.SoleOwner = n.tracker.IsSoleOwner()
	n.leaseExpiresAt = s.clock.Monotonic() + lease
	s.expiresAt[name] = n.leaseExpiresAt
	s.records[name] = n.self
	s.recordHistory()
}

func (s *simulation) expire(name string) {
	if _, ok := s.records[name]; !ok || s.clock.Monotonic() < s.expiresAt[name] {
		return
	}
	delete(s.records, name)
	s.recordHistory()
}

func (s *simulation) recordHistory() {
	var out []pomelo.Member
	for _, name := range s.names {
		if m, ok := s.records[name]; ok {
			out = append(out, m)
		}
	}
	s.history = append(s.history, out)
}

// watch delivers to a member every change since its last read, in order.
func (s *simulation) watch(n *node) {
	for i, l := range s.history[s.position[n.self.VM]:] {
		n.list = l
		n.revision = pomelo.Revision(s.position[n.self.VM] + i + 1)
		n.tracker.ApplyChange()
	}
	s.position[n.self.VM] = len(s.history)
	n.verifiedAt = s.clock.Monotonic()
}

// relist delivers only the newest list to a member.
func (s *simulation) relist(n *node) {
	n.list = s.history[len(s.history)-1]
	n.revision = pomelo.Revision(len(s.history))
	n.tracker.ApplyRelist()
	s.position[n.self.VM] = len(s.history)
	n.verifiedAt = s.clock.Monotonic()
}

// answer delivers to a member the confirmations of the members that it asked, as far as they still run.
func (s *simulation) answer(n *node) {
	for _, m := range n.requested {
		if o := s.nodes[m.VM]; o.self.Incarnation == m.Incarnation {
			n.tracker.ConfirmPosition(m, pomelo.Position{Revision: o.revision})
		}
	}
	n.requested = nil
}

// TestExclusive lets members watch or relist the store at random times, lose contact with it, expire and join again; no resource may ever have two owners.
func TestExclusive(t *testing.T) {
	_ = flag.Set("rapid.seed", "1")
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			n := s.nodes[rapid.SampledFrom(s.names).Draw(t, "node")]
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0, 1:
				s.expire(n.self.VM)
			case 2, 3:
				s.write(n)
			case 4:
				s.relist(n)
			case 5:
				n.self.SetDraining(!n.self.Draining)
			case 6, 7:
				s.answer(n)
			case 8:
				s.start(n.self.VM)
				s.watch(s.nodes[n.self.VM])
			default:
				s.watch(n)
			}
			s.clock.Advance(pomelo.Millis(rapid.IntRange(1, 2_500).Draw(t, "wait")))
			for resource := range 8 {
				owners := 0
				for _, name := range s.names {
					if s.nodes[name].tracker.IsOwner(fmt.Sprint("right-", resource)) {
						owners++
					}
				}
				if owners > 1 {
					t.Fatalf("resource %d has %d owners", resource, owners)
				}
			}
		}
	})
}

// TestComeAndGone guards against a case that TestExclusive found: a member joined, owned a resource and expired between two reads of another member, which then ignored it as a previous owner.
func TestComeAndGone(t *testing.T) {
	convey.Convey("A member that joined and expired between two reads of another member still counts as a previous owner", t, func() {
		s := newSimulation()
		a, d := s.nodes["a"], s.nodes["d"]
		resource := ""
		for i := range 100 {
			if m, _ := ownerOf(s.history[len(s.history)-1], fmt.Sprint("right-", i)); m == "a" {
				resource = fmt.Sprint("right-", i)
				break
			}
		}
		s.clock.Advance(lease)
		s.expire("a")
		s.watch(d)
		s.write(a)
		s.watch(a)
		s.clock.Advance(lease - 200)
		s.watch(a)
		convey.So(a.tracker.IsOwner(resource), convey.ShouldBeTrue)
		s.clock.Advance(200)
		s.expire("a")
		s.write(d)
		s.clock.Advance(1)
		s.watch(d)
		convey.So(d.tracker.IsOwner(resource), convey.ShouldBeFalse)
		s.relist(d)
		convey.So(d.tracker.IsOwner(resource), convey.ShouldBeFalse)
	})
}

// ownerOf returns the VM of the resource's owner by the list.
func ownerOf(list []pomelo.Member, resource string) (string, bool) {
	n := newNode(clock.New(clock.WithManual(100_000)), "x")
	n.read(list)
	m, ok := n.tracker.Owner(resource)
	return m.VM, ok
}

func TestOwnLapse(t *testing.T) {
	convey.Convey("A member whose own record expired and was written again between two lists waits again, however short the gap", t, func() {
		s := newSimulation()
		c := s.nodes["c"]
		resource := ""
		for i := range 100 {
			if m, _ := ownerOf(s.history[len(s.history)-1], fmt.Sprint("right-", i)); m == "c" {
				resource = fmt.Sprint("right-", i)
				break
			}
		}
		owned := false
		for i := range 7 {
			if i == 2 {
				s.write(c)
			}
			s.relist(c)
			owned = owned || c.tracker.IsOwner(resource)
			s.clock.Advance(lease / 4)
		}
		convey.So(owned, convey.ShouldBeTrue)
		s.expire("c")
		s.clock.Advance(500)
		s.write(c)
		s.clock.Advance(500)
		s.relist(c)
		convey.So(c.tracker.IsOwner(resource), convey.ShouldBeFalse)
	})
}
