package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestStatedLimitAfterRestart(t *testing.T) {
	convey.Convey("A node that restarts keeps to the limit that its upstream stated before, though no response has arrived yet", t, func() {
		const limit = 5
		f := newFleet(t, 3)
		f.waitReady()
		a := f.nodes[0]
		a.upstream.stateLimit(fmt.Sprint(limit))
		statedAt := time.Now()
		others := &fleet{t: t, nodes: f.nodes[1:]}
		others.sendSteadily("before", 30, limitSettle)
		a.upstream.delay.Store(int64(1500 * time.Millisecond))
		f.restart(a)
		// Without a heartbeat the upstream would get no more calls after a while.
		time.AfterFunc(limitWindow/4, func() { a.heartbeat("ready", 1_000) })
		others.sendSteadily("after", 60, limitWindow)
		allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
		convey.So(a.upstream.arrivals.most(statedAt.Add(limitSettle), time.Now(), limitWindow), convey.ShouldBeLessThanOrEqualTo, allowed)
	})
}
