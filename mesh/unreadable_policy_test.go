package mesh_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/platform"
	"github.com/smartystreets/goconvey/convey"
)

// shortKeyAge is the allowed age of the keys in these tests, in milliseconds.
const shortKeyAge = pomelo.Millis(2_000)

func withShortKeyAge(f *fleet) {
	f.adjust = func(_ int, s *pomelo.HostSettings) { s.KeyMaxAge = shortKeyAge }
}

// statusesAfter returns the statuses of keyed requests at every node that are sent later than the allowed age of the keys.
func (f *fleet) statusesAfter(from time.Time) map[int]int {
	seen := map[int]int{}
	time.Sleep(time.Until(from.Add(shortKeyAge.Duration())))
	for n := 0; time.Since(from) < (shortKeyAge + 600).Duration(); n++ {
		for i, m := range f.nodes {
			_ = m.heartbeat("ready", 10_000+n)
			s, _ := m.sendKey("/a/x", fmt.Sprint("late", i, "-", time.Now().UnixNano()), "Bearer "+key)
			seen[s]++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return seen
}

// TestUnreadablePolicy guards against CONFIG: a read that shows a policy that can't be read proves the one in force.
func TestUnreadablePolicy(t *testing.T) {
	documents := map[string]string{
		"that breaks off":              `{"version":"r2","routes":{`,
		"that is a list":               `[]`,
		"whose version is a number":    strings.Replace(fmt.Sprintf(policyText, 2, "other"), `"r2"`, `2`, 1),
		"without a version":            strings.Replace(fmt.Sprintf(policyText, 2, "other"), `"version":"r2",`, ``, 1),
		"with a list of accounts":      strings.Replace(fmt.Sprintf(policyText, 2, "other"), `"tenants":{"acme":`, `"tenants":[{"acme":`, 1),
		"that has been removed (none)": "",
	}
	for name, document := range documents {
		convey.Convey("After a policy "+name+", keys are refused as not proven in time, and the rest goes on", t, func() {
			f := newFleet(t, 2, withShortKeyAge)
			f.waitReady()
			if document == "" {
				f.store.Remove(platform.KeyPolicy)
			} else {
				f.store.Put(platform.KeyPolicy, []byte(document))
			}
			from := time.Now()
			for status := range f.statusesAfter(from) {
				convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
			}
			status, _ := f.nodes[0].sendWith("POST", "/b/x", "open", "order", "")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			for _, m := range f.nodes {
				convey.So(strings.Count(m.log.String(), "event=policy_unusable "), convey.ShouldBeLessThanOrEqualTo, 1)
			}
			f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 3, key))
			for _, m := range f.nodes {
				convey.So(eventually(func() bool {
					s, _ := m.sendKey("/a/x", fmt.Sprint("well", time.Now().UnixNano()), "Bearer "+key)
					return s == http.StatusOK
				}), convey.ShouldBeTrue)
			}
		})
	}
}
