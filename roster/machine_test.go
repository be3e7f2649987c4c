package roster

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func three() []pomelo.Member {
	return []pomelo.Member{{VM: "a", Incarnation: "1"}, {VM: "b", Incarnation: "1"}, {VM: "c", Incarnation: "1"}}
}

func resourceOf(members []pomelo.Member, vm string) string {
	for _, r := range []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		if o, _ := owner(members, r); o.VM == vm {
			return r
		}
	}
	panic("no resource of " + vm)
}

func TestCredit(t *testing.T) {
	convey.Convey("Given a member of a first roster of three", t, func() {
		all := three()
		m := New(modelName, all[0], 1_000, WithTimes(modelOwnershipTTL, modelSuspectAfter, modelLongOutage))
		m.ApplyStored(1_000, 1_100, pomelo.Roster{Name: modelName, Generation: 1, Members: all})
		mine := resourceOf(all, "a")
		echo := pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 1}
		convey.Convey("a store read counts from when it was requested", func() {
			convey.So(m.ConfirmedUntil(), convey.ShouldEqual, 1_000+modelOwnershipTTL)
			convey.So(m.IsOwner(m.ConfirmedUntil()-1, mine), convey.ShouldBeTrue)
			convey.So(m.IsOwner(m.ConfirmedUntil(), mine), convey.ShouldBeFalse)
		})
		convey.Convey("one answer makes a majority of three and counts from when it was requested", func() {
			m.HandleReply(2_000, 2_900, all[1], echo)
			convey.So(m.ConfirmedUntil(), convey.ShouldEqual, 2_000+modelOwnershipTTL)
		})
		convey.Convey("answers of another generation, of another process, or of a resigned member do not count", func() {
			m.HandleReply(2_000, 2_900, all[1], pomelo.RosterHeartbeatReply{Incarnation: "2", Generation: 1})
			m.HandleReply(2_000, 2_900, all[2], pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 0})
			m.HandleReply(2_000, 2_900, all[1], pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 1, Resigned: true})
			convey.So(m.ConfirmedUntil(), convey.ShouldEqual, 1_000+modelOwnershipTTL)
		})
		convey.Convey("a resource whose owner stays is owned through a change, a new one only once the change is in effect", func() {
			two := all[:2]
			m.HandleReply(2_000, 2_001, all[1], echo)
			m.ApplyStored(2_010, 2_020, pomelo.Roster{Name: modelName, Generation: 2, Members: two, Previous: all})
			gained := ""
			for _, r := range []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "s0", "s1", "s2", "s3"} {
				now, _ := owner(two, r)
				previous, _ := owner(all, r)
				if now.VM == "a" && previous.VM == "c" {
					gained = r
				}
			}
			convey.So(m.IsOwner(2_021, mine), convey.ShouldBeTrue)
			convey.So(m.OwnedSince(2_021, mine), convey.ShouldEqual, 1_100)
			convey.So(m.IsOwner(2_021, gained), convey.ShouldBeFalse)
			convey.So(m.State(), convey.ShouldEqual, "listed")
			m.HandleReply(2_100, 2_101, all[1], pomelo.RosterHeartbeatReply{Incarnation: "1", Generation: 2})
			m.Tick(2_200, 100)
			m.Tick(2_300, withMargin(modelOwnershipTTL)-1)
			convey.So(m.IsOwner(2_300, gained), convey.ShouldBeFalse)
			m.Tick(2_400, 1)
			convey.So(m.IsOwner(2_400, gained), convey.ShouldBeTrue)
			convey.So(m.OwnedSince(2_400, gained), convey.ShouldEqual, 2_400)
			convey.So(m.OwnedSince(2_400, mine), convey.ShouldEqual, 1_100)
			convey.So(m.State(), convey.ShouldEqual, "holding")
		})
		convey.Convey("a member that resigned owns nothing", func() {
			m.Resign(1_200)
			convey.So(m.IsOwner(1_200, mine), convey.ShouldBeFalse)
			convey.So(m.State(), convey.ShouldEqual, "resigned")
		})
	})
}
