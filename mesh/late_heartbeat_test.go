package mesh_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// deregister withdraws the upstream that started at the time of its heartbeats.
func (m *member) deregister() int {
	return m.deregisterWith(`{"born":1}`)
}

// deregisterWith sends a deregistration with this body, and returns the status, or 0 without an answer.
func (m *member) deregisterWith(body string) int {
	resp, err := http.Post("http://"+m.settings.ControlAddress+"/instances/"+m.upstream.id+"/deregister", "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestLateHeartbeatOfLeftUpstream(t *testing.T) {
	convey.Convey("A heartbeat that arrives after the upstream's deregistration does not bring it back", t, func() {
		f := newFleet(t, 2)
		f.waitReady()
		a := f.nodes[0]
		a.deregister()
		convey.So(f.arrivalsDuring(a, "left", 1_000), convey.ShouldEqual, 0)

		convey.Convey("not even after the node has restarted", func() {
			convey.So(eventually(func() bool { return len(f.nodes[1].node.Members().Serving("shop")) == 1 }), convey.ShouldBeTrue)
			f.restart(a)
			convey.So(eventually(a.node.Ready), convey.ShouldBeTrue)
			convey.So(f.arrivalsDuring(a, "restarted", 2_000), convey.ShouldEqual, 0)
		})
	})
}
