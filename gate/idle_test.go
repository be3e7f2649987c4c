package gate

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestIdleUpstream(t *testing.T) {
	convey.Convey("An upstream that was idle for a minute does not count as stalled: calls that can meet their deadline are admitted", t, func() {
		m := newModel(16, 10, 500)
		m.run(3, eightStreams(1, 1, 5))
		m.run(60_000, nil)
		before := m.served()
		m.run(1, eightStreams(40, 1, 5))
		m.run(500, nil)
		convey.So(m.served()-before, convey.ShouldEqual, 40)
		for _, c := range m.counts {
			convey.So(c.refused, convey.ShouldEqual, 0)
		}
	})
}
