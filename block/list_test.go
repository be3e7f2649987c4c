package block_test

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/block"
	"github.com/smartystreets/goconvey/convey"
)

func TestList(t *testing.T) {
	const now = pomelo.Millis(1_000)
	const deadly, other = pomelo.Fingerprint("deadly"), pomelo.Fingerprint("other")
	crash := func(startedAt pomelo.Millis, suspects ...pomelo.Fingerprint) pomelo.Crash {
		return pomelo.Crash{VM: "vm", UpstreamID: "i", StartedAt: startedAt, Suspects: suspects}
	}
	convey.Convey("Two crashes, each reported twice", t, func() {
		l := block.New()
		convey.So(l.HasSuspects(now), convey.ShouldBeFalse)
		for i := range 2 {
			c := crash(pomelo.Millis(i), deadly, other)
			convey.So(l.Add(now, c), convey.ShouldBeTrue)
			convey.So(l.Add(now, c), convey.ShouldBeFalse)
		}
		convey.So(l.BlockedFor(now, deadly), convey.ShouldEqual, 0)

		convey.Convey("block a suspect of the third one, until the first is forgotten", func() {
			l.Add(now+10, crash(2, deadly))
			convey.So(l.BlockedFor(now+10, deadly), convey.ShouldEqual, pomelo.CrashTTL-10)
			convey.So(l.BlockedFor(now+10, other), convey.ShouldEqual, 0)
			convey.So(l.BlockedFor(now+pomelo.CrashTTL, deadly), convey.ShouldEqual, 0)
			convey.So(l.HasSuspects(now+10+pomelo.CrashTTL), convey.ShouldBeFalse)
		})
		convey.Convey("do not block a suspect that an upstream has answered since", func() {
			l.RecordAnswer(other)
			l.Add(now, crash(2, deadly, other))
			convey.So(l.BlockedFor(now, other), convey.ShouldEqual, 0)
			convey.So(l.BlockedFor(now, deadly), convey.ShouldBeGreaterThan, 0)
		})
	})
}
