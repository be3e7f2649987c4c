package owner_test

import (
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/owner"
	"github.com/smartystreets/goconvey/convey"
)

// maxListAge is the maximum age of the member list that package owner acts on, in milliseconds.
const maxListAge = pomelo.Millis(4_500)

// node is one member's view of the store's list.
type node struct {
	self       pomelo.Member
	list       []pomelo.Member
	verifiedAt pomelo.Millis
	// revision is the number of lists that the node has applied.
	revision       pomelo.Revision
	requested      []pomelo.Member
	leaseExpiresAt pomelo.Millis
	clock          *clock.Clock
	tracker        *owner.Tracker
}

// Current returns the list as last read.
func (n *node) Current() []pomelo.Member { return n.list }

// MembersPosition returns the position of the list as last read.
func (n *node) MembersPosition() pomelo.Position { return pomelo.Position{Revision: n.revision} }

// MembersAge returns the time since the last read began.
func (n *node) MembersAge() pomelo.Millis { return n.clock.Monotonic() - n.verifiedAt }

// Self returns the node's own record.
func (n *node) Self() pomelo.Member { return n.self }

func newNode(k *clock.Clock, name string) *node {
	n := &node{clock: k, verifiedAt: -1 << 40, leaseExpiresAt: 1 << 40, self: pomelo.Member{VM: name, Incarnation: name + "-1"}}
	n.tracker = owner.New(n, k, func() pomelo.Millis { return n.leaseExpiresAt },
		owner.WithPositionRequest(func(m pomelo.Member) { n.requested = append(n.requested, m) }))
	return n
}

// read applies the list as read from the store now.
func (n *node) read(list []pomelo.Member) {
	n.list = append([]pomelo.Member{}, list...)
	n.revision++
	n.tracker.ApplyChange()
	n.verifiedAt = n.clock.Monotonic()
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
		resource := "right-1"
		if m, _ := a.tracker.Owner(resource); m.VM == "b" {
			a, b = b, a
		}

		convey.Convey("owns a resource once any previous owner must have stopped", func() {
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			k.Advance(maxListAge - 1)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			a.verifiedAt = k.Monotonic()
			k.Advance(2)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeTrue)
			convey.So(b.tracker.IsOwner(resource), convey.ShouldBeFalse)
		})
		convey.Convey("stops when its list is too old, and continues without a wait if the list has not changed", func() {
			k.Advance(maxListAge)
			a.verifiedAt = k.Monotonic()
			k.Advance(maxListAge)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeTrue)
			since := a.tracker.OwnedSince(resource)
			k.Advance(1)
			convey.So(a.tracker.OwnedSince(resource), convey.ShouldEqual, 0)
			a.verifiedAt = k.Monotonic()
			convey.So(a.tracker.OwnedSince(resource), convey.ShouldEqual, since)
		})
		convey.Convey("waits again after a long gap in which changes may have been missed", func() {
			k.Advance(2 * maxListAge)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			a.tracker.ApplyRelist()
			a.verifiedAt = k.Monotonic()
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			k.Advance(maxListAge)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			k.Advance(1)
			a.verifiedAt = k.Monotonic()
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeTrue)
		})
		convey.Convey("keeps its start time when a joining member becomes the owner of other resources", func() {
			k.Advance(maxListAge + 1)
			a.verifiedAt = k.Monotonic()
			since := a.tracker.OwnedSince(resource)
			for i := range 20 {
				extended := append([]pomelo.Member{}, list...)
				extended = append(extended, record(fmt.Sprint("c", i)))
				a.read(extended)
				if m, _ := a.tracker.Owner(resource); m.VM == a.self.VM {
					convey.So(a.tracker.OwnedSince(resource), convey.ShouldEqual, since)
					return
				}
				a.read(list)
				since = a.tracker.OwnedSince(resource)
			}
		})
		convey.Convey("takes over at once what the previous process on the same VM owned", func() {
			for i := range list {
				list[i].SoleOwner = true
			}
			c := newNode(k, a.self.VM)
			c.self.Incarnation = a.self.VM + "-2"
			c.read(list)
			k.Advance(1)
			convey.So(c.tracker.IsOwner(resource), convey.ShouldBeFalse)
			c.read([]pomelo.Member{c.self, b.self})
			k.Advance(1)
			convey.So(c.tracker.IsOwner(resource), convey.ShouldBeTrue)
		})
		convey.Convey("waits for the previous owner if the previous process on the same VM had not finished waiting", func() {
			c := newNode(k, a.self.VM)
			c.self.Incarnation = a.self.VM + "-2"
			c.read(list)
			c.read([]pomelo.Member{c.self, b.self})
			k.Advance(1)
			convey.So(c.tracker.IsOwner(resource), convey.ShouldBeFalse)
			k.Advance(maxListAge)
			c.verifiedAt = k.Monotonic()
			convey.So(c.tracker.IsOwner(resource), convey.ShouldBeTrue)
		})
		convey.Convey("takes over at once from a member that resigned, which stops before its record shows it", func() {
			k.Advance(maxListAge + 1)
			a.verifiedAt = k.Monotonic()
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeTrue)
			a.self.SetDraining(true)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			drained := []pomelo.Member{a.self, b.self}
			b.read(drained)
			k.Advance(1)
			convey.So(b.tracker.IsOwner(resource), convey.ShouldBeTrue)
			convey.Convey("which owns the resource again only with a record of its new term, after the other must have stopped", func() {
				a.self.SetDraining(false)
				convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
				a.read(drained)
				a.read([]pomelo.Member{a.self, b.self})
				convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
				k.Advance(maxListAge)
				a.verifiedAt = k.Monotonic()
				k.Advance(1)
				convey.So(a.tracker.IsOwner(resource), convey.ShouldBeTrue)
				convey.So(b.tracker.IsOwner(resource), convey.ShouldBeFalse)
			})
		})
		convey.Convey("takes over from a running owner as soon as that owner confirms the list", func() {
			k.Advance(maxListAge + 1)
			a.verifiedAt = k.Monotonic()
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeTrue)
			list[0].SoleOwner, list[1].SoleOwner = true, true
			var c *node
			for i := 0; c == nil; i++ {
				x := newNode(k, fmt.Sprint("c", i))
				x.read(list)
				x.read(append(append([]pomelo.Member{}, list...), x.self))
				if m, _ := x.tracker.Owner(resource); m.VM == x.self.VM {
					c = x
				}
			}
			k.Advance(1)
			convey.So(c.tracker.IsOwner(resource), convey.ShouldBeFalse)
			convey.So(c.requested, convey.ShouldNotBeEmpty)
			convey.So(c.requested[0].VM, convey.ShouldEqual, a.self.VM)
			c.tracker.ConfirmPosition(a.self, pomelo.Position{Revision: c.revision - 1})
			convey.So(c.tracker.IsOwner(resource), convey.ShouldBeFalse)
			a.read(c.list)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			c.tracker.ConfirmPosition(a.self, pomelo.Position{Revision: c.revision})
			convey.So(c.tracker.IsOwner(resource), convey.ShouldBeTrue)
		})
		convey.Convey("stops before its own record may expire, so that the next owner need not wait", func() {
			k.Advance(maxListAge + 1)
			a.verifiedAt = k.Monotonic()
			a.leaseExpiresAt = k.Monotonic() + 1_000
			k.Advance(1_000)
			convey.So(a.tracker.IsOwner(resource), convey.ShouldBeFalse)
			b.read([]pomelo.Member{b.self})
			k.Advance(1)
			convey.So(b.tracker.IsOwner(resource), convey.ShouldBeTrue)
		})
	})
}
