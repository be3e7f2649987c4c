package mesh_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/platform"
	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/smartystreets/goconvey/convey"
)

// outages are the ways in which the store may fail one node or all.
var outages = []struct {
	name  string
	fault fake.Fault
}{
	{"turns calls away", fake.Fault{Status: http.StatusServiceUnavailable}},
	{"is silent", fake.Fault{Silent: true}},
	{"limits calls", fake.Fault{Status: http.StatusTooManyRequests}},
}

func TestKeyAge(t *testing.T) {
	for _, o := range outages {
		convey.Convey("While the store "+o.name+", keys are trusted for less than their bound, open routes go on, and all comes back with the store", t, func() {
			f := newFleet(t, 2)
			f.settle()
			a := f.nodes[0]
			for i := range f.nodes {
				f.store.SetFault(strconv.Itoa(i), o.fault)
			}
			began := time.Now()
			n := 0
			refused := until(func() bool {
				n++
				status, _ := a.ask("GET", "/a/x", fmt.Sprint("k", n), "")
				return status == http.StatusServiceUnavailable
			})
			convey.So(refused, convey.ShouldBeTrue)
			convey.So(time.Since(began).Milliseconds(), convey.ShouldBeLessThan, int64(a.settings.KeyMaxAge))
			status, _ := a.ask("POST", "/b/x", "open", "order")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 2, "other"))
			for i := range f.nodes {
				f.store.SetFault(strconv.Itoa(i), fake.Fault{})
			}
			convey.So(until(func() bool {
				n++
				status, _ := a.ask("GET", "/a/x", fmt.Sprint("k", n), "")
				return status == http.StatusUnauthorized
			}), convey.ShouldBeTrue)
		})
	}
}

func TestCompaction(t *testing.T) {
	convey.Convey("A watch whose history is gone reads everything anew", t, func() {
		f := newFleet(t, 1)
		f.settle()
		f.store.Compact()
		f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 2, "other"))
		f.store.Compact()
		convey.So(until(func() bool {
			status, _ := f.nodes[0].ask("GET", "/a/x", "c", "")
			return status == http.StatusUnauthorized
		}), convey.ShouldBeTrue)
	})
}
