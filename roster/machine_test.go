package roster

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func three() []pomelo.Member {
	return []pomelo.Member{{VM: "a", Incarnation: "1"}, {VM: "b", Incarnation: "1"}, {VM: "c", Incarnation: "1"}}
}

func rightOf(members []pomelo.Member, vm string) string {
	for _, r := range []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		if o, _ := owner(members, r); o.VM == vm {
			return r
		}
	}
	panic("no right of " + vm)
}

func TestCredit(t *testing.T) {
	convey.Convey("Given a member of a first roster of three", t, func() {
		all := three()
		m := New(modelName, all[0], 1_000, WithTimes(modelStanding, modelSuspect, modelLong))
		m.Stored(1_000, 1_100, pomelo.Roster{Name: modelName, Generation: 1, Members: all})
		mine := rightOf(all, "a")
		echo := pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 1}
		convey.Convey("a read of the store counts from when it was asked for", func() {
			convey.So(m.Until(), convey.ShouldEqual, 1_000+modelStanding)
			convey.So(m.Holds(m.Until()-1, mine), convey.ShouldBeTrue)
			convey.So(m.Holds(m.Until(), mine), convey.ShouldBeFalse)
		})
		convey.Convey("one answer makes a majority of three and counts from when it was asked for", func() {
			m.Heard(2_000, 2_900, all[1], echo)
			convey.So(m.Until(), convey.ShouldEqual, 2_000+modelStanding)
		})
		convey.Convey("answers of another generation, process, or of one that resigned do not count", func() {
			m.Heard(2_000, 2_900, all[1], pomelo.RosterHeartbeatReply{Incarnation: "2", Generation: 1})
			m.Heard(2_000, 2_900, all[2], pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 0})
			m.Heard(2_000, 2_900, all[1], pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 1, Resigned: true})
			convey.So(m.Until(), convey.ShouldEqual, 1_000+modelStanding)
		})
		convey.Convey("a right that stays is held through a change, one that is new only once it is in effect", func() {
			two := all[:2]
			m.Heard(2_000, 2_001, all[1], echo)
			m.Stored(2_010, 2_020, pomelo.Roster{Name: modelName, Generation: 2, Members: two, Previous: all})
			taken := ""
			for _, r := range []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "s0", "s1", "s2", "s3"} {
				now, _ := owner(two, r)
				before, _ := owner(all, r)
				if now.VM == "a" && before.VM == "c" {
					taken = r
				}
			}
			convey.So(m.Holds(2_021, mine), convey.ShouldBeTrue)
			convey.So(m.Since(2_021, mine), convey.ShouldEqual, 1_100)
			convey.So(m.Holds(2_021, taken), convey.ShouldBeFalse)
			convey.So(m.State(), convey.ShouldEqual, "listed")
			m.Heard(2_100, 2_101, all[1], pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 2})
			m.Tick(2_200, 100)
			m.Tick(2_300, withMargin(modelStanding)-1)
			convey.So(m.Holds(2_300, taken), convey.ShouldBeFalse)
			m.Tick(2_400, 1)
			convey.So(m.Holds(2_400, taken), convey.ShouldBeTrue)
			convey.So(m.Since(2_400, taken), convey.ShouldEqual, 2_400)
			convey.So(m.Since(2_400, mine), convey.ShouldEqual, 1_100)
			convey.So(m.State(), convey.ShouldEqual, "holding")
		})
		convey.Convey("a member that resigned holds nothing", func() {
			m.Resign(1_200)
			convey.So(m.Holds(1_200, mine), convey.ShouldBeFalse)
			convey.So(m.State(), convey.ShouldEqual, "resigned")
		})
	})
}
