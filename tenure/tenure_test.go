package tenure_test

import (
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/tenure"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// trust is tenure's own bound on the age of what it acts on, in milliseconds.
const trust = pomelo.Millis(2_000)

// node is one member's view of the store's list.
type node struct {
	self   pomelo.Member
	list   []pomelo.Member
	proven pomelo.Millis
	clock  *clock.Clock
	tenure *tenure.Tenure
}

// Current is the list as the node last read it.
func (n *node) Current() []pomelo.Member { return n.list }

// MembersAge is how long ago that read began.
func (n *node) MembersAge() pomelo.Millis { return n.clock.Steady() - n.proven }

// Self is the node's own record.
func (n *node) Self() pomelo.Member { return n.self }

func newNode(k *clock.Clock, name string) *node {
	n := &node{clock: k, proven: -1 << 40, self: pomelo.Member{VM: name, Incarnation: name + "-1"}}
	n.tenure = tenure.New(n, k)
	return n
}

// read takes in the store's list as of now.
func (n *node) read(list []pomelo.Member) {
	n.list = append([]pomelo.Member{}, list...)
	n.tenure.Change()
	n.proven = n.clock.Steady()
}

func record(name string, revision pomelo.Revision) pomelo.Member {
	return pomelo.Member{VM: name, Incarnation: name + "-1", Revision: revision}
}

func TestTenure(t *testing.T) {
	convey.Convey("One of two members", t, func() {
		k := clock.New(clock.WithManual(100_000))
		list := []pomelo.Member{record("a", 1), record("b", 2)}
		a, b := newNode(k, "a"), newNode(k, "b")
		a.read(list)
		b.read(list)
		right := "right-1"
		if m, _ := a.tenure.Owner(right); m.VM == "b" {
			a, b = b, a
		}

		convey.Convey("holds a right once a holder before it must have stopped", func() {
			convey.So(a.tenure.Holds(right), convey.ShouldBeFalse)
			k.Advance(trust - 1)
			convey.So(a.tenure.Holds(right), convey.ShouldBeFalse)
			a.proven = k.Steady()
			k.Advance(2)
			convey.So(a.tenure.Holds(right), convey.ShouldBeTrue)
			convey.So(b.tenure.Holds(right), convey.ShouldBeFalse)
		})
		convey.Convey("stops when its knowledge is too old, and goes on without a wait if nothing has changed", func() {
			k.Advance(trust)
			a.proven = k.Steady()
			k.Advance(trust)
			convey.So(a.tenure.Holds(right), convey.ShouldBeTrue)
			since := a.tenure.Since(right)
			k.Advance(1)
			convey.So(a.tenure.Since(right), convey.ShouldEqual, 0)
			a.proven = k.Steady()
			convey.So(a.tenure.Since(right), convey.ShouldEqual, since)
		})
		convey.Convey("waits anew when its record lapsed unseen", func() {
			k.Advance(2 * trust)
			convey.So(a.tenure.Holds(right), convey.ShouldBeFalse)
			again := []pomelo.Member{record("a", 7), record("b", 8)}
			a.read(again)
			convey.So(a.tenure.Holds(right), convey.ShouldBeFalse)
			k.Advance(trust)
			convey.So(a.tenure.Holds(right), convey.ShouldBeFalse)
			k.Advance(1)
			a.proven = k.Steady()
			convey.So(a.tenure.Holds(right), convey.ShouldBeTrue)
		})
		convey.Convey("keeps its time when a member joins that takes other rights", func() {
			k.Advance(trust + 1)
			a.proven = k.Steady()
			since := a.tenure.Since(right)
			for i := range 20 {
				with := append([]pomelo.Member{}, list...)
				with = append(with, record(fmt.Sprint("c", i), 9))
				a.read(with)
				if m, _ := a.tenure.Owner(right); m.VM == a.self.VM {
					convey.So(a.tenure.Since(right), convey.ShouldEqual, since)
					return
				}
				a.read(list)
				since = a.tenure.Since(right)
			}
		})
		convey.Convey("takes over at once what the process before it held on the same VM", func() {
			c := newNode(k, a.self.VM)
			c.self.Incarnation = a.self.VM + "-2"
			c.read(list)
			k.Advance(1)
			convey.So(c.tenure.Holds(right), convey.ShouldBeTrue)
		})
	})
}

// TestExclusive has members read the store at random times, be cut from it, lapse and come back, while no right may ever have two holders.
func TestExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := clock.New(clock.WithManual(100_000))
		names := []string{"a", "b", "c", "d"}
		var nodes []*node
		revision := pomelo.Revision(0)
		records := map[string]pomelo.Member{}
		write := func(name string) {
			revision++
			records[name] = record(name, revision)
		}
		for _, name := range names {
			nodes = append(nodes, newNode(k, name))
			write(name)
		}
		list := func() []pomelo.Member {
			var out []pomelo.Member
			for _, name := range names {
				if m, ok := records[name]; ok {
					out = append(out, m)
				}
			}
			return out
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.SampledFrom(nodes).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				delete(records, n.self.VM)
			case 1:
				write(n.self.VM)
			default:
				n.read(list())
			}
			k.Advance(pomelo.Millis(rapid.IntRange(1, 2_500).Draw(t, "wait")))
			for right := range 8 {
				holders := 0
				for _, n := range nodes {
					if n.tenure.Holds(fmt.Sprint("right-", right)) {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("right %d has %d holders", right, holders)
				}
			}
		}
	})
}
