package census_test

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/census"
	"github.com/smartystreets/goconvey/convey"
)

func record(vm string, epoch int64, r pomelo.Revision) pomelo.MemberRecord {
	return pomelo.MemberRecord{Member: pomelo.Member{VM: vm, Incarnation: vm, Epoch: epoch, SoleOwner: true}, Revision: r}
}

func vms(members []pomelo.Member) string {
	out := ""
	for _, m := range members {
		out += m.VM
	}
	return out
}

// TestReturn replays a return from a copy that lacks member b, and has c, which left after the copy was made.
func TestReturn(t *testing.T) {
	convey.Convey("Given members a and b, where c left before the store returned from a copy with a and c", t, func() {
		c := census.New("a")
		c.Replace([]pomelo.MemberRecord{record("a", 1, 3), record("c", 1, 4)}, pomelo.Position{Epoch: 1, Revision: 5}, 0)
		convey.So(c.Apply(pomelo.MemberRecord{Member: pomelo.Member{VM: "c"}, Revision: 6, Deleted: true}, 10), convey.ShouldBeTrue)
		convey.So(c.Apply(record("b", 1, 7), 10), convey.ShouldBeTrue)
		c.Advance(7)
		c.Prove(100)
		c.Replace([]pomelo.MemberRecord{record("a", 1, 3), record("c", 1, 4)}, pomelo.Position{Epoch: 2, Revision: 5}, 1_000)

		convey.Convey("nobody leaves, nobody is back, and nobody is a sole owner any more", func() {
			convey.So(vms(c.Current()), convey.ShouldEqual, "ab")
			for _, m := range c.Current() {
				convey.So(m.SoleOwner, convey.ShouldBeFalse)
			}
			convey.So(c.Position(), convey.ShouldResemble, pomelo.Position{Epoch: 2, Revision: 5})
		})
		convey.Convey("a removal of an awaited member's older record means nothing, its new record does", func() {
			convey.So(c.Apply(pomelo.MemberRecord{Member: pomelo.Member{VM: "b"}, Revision: 6, Deleted: true}, 1_100), convey.ShouldBeFalse)
			convey.So(c.Apply(record("b", 1, 7), 1_100), convey.ShouldBeFalse)
			convey.So(c.Apply(record("b", 2, 8), 1_100), convey.ShouldBeTrue)
			convey.So(c.Apply(pomelo.MemberRecord{Member: pomelo.Member{VM: "b"}, Revision: 9, Deleted: true}, 1_200), convey.ShouldBeTrue)
			convey.So(vms(c.Current()), convey.ShouldEqual, "a")
		})
		convey.Convey("its own proofs of the new epoch count once its own record is there", func() {
			c.Prove(1_000)
			at, ok := c.OwnProofAt()
			convey.So(at, convey.ShouldEqual, 100)
			convey.So(ok, convey.ShouldBeTrue)
			c.Apply(record("a", 2, 8), 1_100)
			at, _ = c.OwnProofAt()
			convey.So(at, convey.ShouldEqual, 1_000)
			at, _ = c.ProvenAt()
			convey.So(at, convey.ShouldEqual, 1_000)
		})
		convey.Convey("an awaited member leaves only when a proof shows that it had the time to announce itself, and stays usable for a while", func() {
			c.Apply(record("a", 2, 8), 1_100)
			c.Prove(5_999)
			convey.So(c.DropCarried(9_000), convey.ShouldBeFalse)
			c.Prove(6_000)
			convey.So(c.DropCarried(9_000), convey.ShouldBeTrue)
			convey.So(vms(c.Current()), convey.ShouldEqual, "a")
			convey.So(vms(c.Usable()), convey.ShouldEqual, "abc")
			convey.So(c.DropExpired(39_001), convey.ShouldBeTrue)
			convey.So(vms(c.Usable()), convey.ShouldEqual, "a")
		})
		convey.Convey("a list of the same epoch without an awaited member does not remove it", func() {
			c.Replace([]pomelo.MemberRecord{record("a", 2, 8)}, pomelo.Position{Epoch: 2, Revision: 9}, 1_500)
			convey.So(vms(c.Current()), convey.ShouldEqual, "ab")
		})
		convey.Convey("a record of the copy that is newer than what was known is taken over", func() {
			c.Replace([]pomelo.MemberRecord{record("d", 1, 8)}, pomelo.Position{Epoch: 2, Revision: 9}, 1_500)
			convey.So(vms(c.Current()), convey.ShouldEqual, "abd")
		})
	})
	convey.Convey("A process that starts with the copy knows the copy's members, none of them as a sole owner", t, func() {
		c := census.New("d")
		c.Replace([]pomelo.MemberRecord{record("a", 1, 3), record("b", 2, 6)}, pomelo.Position{Epoch: 2, Revision: 6}, 0)
		convey.So(vms(c.Current()), convey.ShouldEqual, "ab")
		convey.So(c.Current()[0].SoleOwner, convey.ShouldBeFalse)
		convey.So(c.Current()[1].SoleOwner, convey.ShouldBeTrue)
	})
}
