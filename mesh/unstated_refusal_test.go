package mesh_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestUnstatedRefusal guards against an upstream's own status that promises the caller that its order has not run, though it has.
func TestUnstatedRefusal(t *testing.T) {
	convey.Convey("Given an upstream that runs requests and responds with a status that promises that they have not run", t, func() {
		f := newFleet(t, 1)
		f.waitReady()
		a := f.nodes[0]
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			a.upstream.status.Store(int64(status))
			order, _ := a.send("POST", "/b/x", "order-"+http.StatusText(status), "order")
			convey.So(order, convey.ShouldEqual, http.StatusBadGateway)
			// A node refuses reads over the account's rate itself in its first second.
			passedOn := func() bool {
				read, body := a.send("GET", "/a/x", "read-"+http.StatusText(status), "")
				return read == status && strings.HasPrefix(body, "GET /a/x ")
			}
			convey.So(eventually(passedOn), convey.ShouldBeTrue)
		}
	})
}
