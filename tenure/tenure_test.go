package tenure_test

import (
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/tenure"
	"github.com/smartystreets/goconvey/convey"
)

// trust is tenure's own bound on the age of what it acts on, in milliseconds.
const trust = pomelo.Millis(4_500)

// node is one member's view of the store's list.
type node struct {
	self   pomelo.Member
	list   []pomelo.Member
	proven pomelo.Millis
	// revision counts the lists that the store has had.
	revision pomelo.Revision
	asked    []pomelo.Member
	leased   pomelo.Millis
	clock    *clock.Clock
	tenure   *tenure.Tenure
}

// Current is the list as the node last read it.
func (n *node) Current() []pomelo.Member { return n.list }

// MembersRevision is that of the list as the node last read it.
func (n *node) MembersRevision() pomelo.Revision { return n.revision }

// MembersAge is how long ago that read began.
func (n *node) MembersAge() pomelo.Millis { return n.clock.Monotonic() - n.proven }

// Self is the node's own record.
func (n *node) Self() pomelo.Member { return n.self }

func newNode(k *clock.Clock, name string) *node {
	n := &node{clock: k, proven: -1 << 40, leased: 1 << 40, self: pomelo.Member{VM: name, Incarnation: name + "-1"}}
	n.tenure = tenure.New(n, k, func() pomelo.Millis { return n.leased },
		tenure.WithConfirm(func(m pomelo.Member) { n.asked = append(n.asked, m) }))
	return n
}

// read takes in the store's list as of now.
func (n *node) read(list []pomelo.Member) {
	n.list = append([]pomelo.Member{}, list...)
	n.revision++
	n.tenure.Change()
	n.proven = n.clock.Monotonic()
}

func record(name string) pomelo.Member {
	return pomelo.Member{VM: name, Incarnation: name + "-1"}
}

func TestTenure(t *testing.T) {
	convey.Convey("One of two members", t, func() {
		k := clock.New(clock.WithManual(100_000))
		list := []pomelo.Member{record("a"), record("b")}
		a, b := newNode(k, "a"), newNode(k, "b")
		a.read(list)
		b.read(list)
		right := "right-1"
		if m, _ := a.tenure.Owner(right); m.VM == "b" {
			a, b = b, a
		}

		convey.Convey("holds a right once a holder before it must have stopped", func() {
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			k.Advance(trust - 1)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			a.proven = k.Monotonic()
			k.Advance(2)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeTrue)
			convey.So(b.tenure.IsOwner(right), convey.ShouldBeFalse)
		})
		convey.Convey("stops when its knowledge is too old, and goes on without a wait if nothing has changed", func() {
			k.Advance(trust)
			a.proven = k.Monotonic()
			k.Advance(trust)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeTrue)
			since := a.tenure.OwnedSince(right)
			k.Advance(1)
			convey.So(a.tenure.OwnedSince(right), convey.ShouldEqual, 0)
			a.proven = k.Monotonic()
			convey.So(a.tenure.OwnedSince(right), convey.ShouldEqual, since)
		})
		convey.Convey("waits anew when changes may have gone unseen for long", func() {
			k.Advance(2 * trust)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			a.tenure.Relisted()
			a.proven = k.Monotonic()
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			k.Advance(trust)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			k.Advance(1)
			a.proven = k.Monotonic()
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeTrue)
		})
		convey.Convey("keeps its time when a member joins that takes other rights", func() {
			k.Advance(trust + 1)
			a.proven = k.Monotonic()
			since := a.tenure.OwnedSince(right)
			for i := range 20 {
				with := append([]pomelo.Member{}, list...)
				with = append(with, record(fmt.Sprint("c", i)))
				a.read(with)
				if m, _ := a.tenure.Owner(right); m.VM == a.self.VM {
					convey.So(a.tenure.OwnedSince(right), convey.ShouldEqual, since)
					return
				}
				a.read(list)
				since = a.tenure.OwnedSince(right)
			}
		})
		convey.Convey("takes over at once what the process before it held on the same VM", func() {
			for i := range list {
				list[i].SoleOwner = true
			}
			c := newNode(k, a.self.VM)
			c.self.Incarnation = a.self.VM + "-2"
			c.read(list)
			k.Advance(1)
			convey.So(c.tenure.IsOwner(right), convey.ShouldBeFalse)
			c.read([]pomelo.Member{c.self, b.self})
			k.Advance(1)
			convey.So(c.tenure.IsOwner(right), convey.ShouldBeTrue)
		})
		convey.Convey("waits for the holder before it if the process before it on the same VM had not waited to the end", func() {
			c := newNode(k, a.self.VM)
			c.self.Incarnation = a.self.VM + "-2"
			c.read(list)
			c.read([]pomelo.Member{c.self, b.self})
			k.Advance(1)
			convey.So(c.tenure.IsOwner(right), convey.ShouldBeFalse)
			k.Advance(trust)
			c.proven = k.Monotonic()
			convey.So(c.tenure.IsOwner(right), convey.ShouldBeTrue)
		})
		convey.Convey("takes over at once from one that resigned, which stops before its record says so", func() {
			k.Advance(trust + 1)
			a.proven = k.Monotonic()
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeTrue)
			a.self.SetDraining(true)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			without := []pomelo.Member{a.self, b.self}
			b.read(without)
			k.Advance(1)
			convey.So(b.tenure.IsOwner(right), convey.ShouldBeTrue)
			convey.Convey("and it comes back only by a record of its new term, after the other must have stopped", func() {
				a.self.SetDraining(false)
				convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
				a.read(without)
				a.read([]pomelo.Member{a.self, b.self})
				convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
				k.Advance(trust)
				a.proven = k.Monotonic()
				k.Advance(1)
				convey.So(a.tenure.IsOwner(right), convey.ShouldBeTrue)
				convey.So(b.tenure.IsOwner(right), convey.ShouldBeFalse)
			})
		})
		convey.Convey("takes over from one that still runs as soon as that one knows", func() {
			k.Advance(trust + 1)
			a.proven = k.Monotonic()
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeTrue)
			list[0].SoleOwner, list[1].SoleOwner = true, true
			var c *node
			for i := 0; c == nil; i++ {
				x := newNode(k, fmt.Sprint("c", i))
				x.read(list)
				x.read(append(append([]pomelo.Member{}, list...), x.self))
				if m, _ := x.tenure.Owner(right); m.VM == x.self.VM {
					c = x
				}
			}
			k.Advance(1)
			convey.So(c.tenure.IsOwner(right), convey.ShouldBeFalse)
			convey.So(c.asked, convey.ShouldNotBeEmpty)
			convey.So(c.asked[0].VM, convey.ShouldEqual, a.self.VM)
			c.tenure.Confirmed(a.self, c.revision-1)
			convey.So(c.tenure.IsOwner(right), convey.ShouldBeFalse)
			a.read(c.list)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			c.tenure.Confirmed(a.self, c.revision)
			convey.So(c.tenure.IsOwner(right), convey.ShouldBeTrue)
		})
		convey.Convey("stops before its own record may lapse, so that the next holder need not wait", func() {
			k.Advance(trust + 1)
			a.proven = k.Monotonic()
			a.leased = k.Monotonic() + 1_000
			k.Advance(1_000)
			convey.So(a.tenure.IsOwner(right), convey.ShouldBeFalse)
			b.read([]pomelo.Member{b.self})
			k.Advance(1)
			convey.So(b.tenure.IsOwner(right), convey.ShouldBeTrue)
		})
	})
}
