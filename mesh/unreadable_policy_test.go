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
		"whose accounts are null":      strings.Replace(strings.Replace(policyText, accountsText, `"tenants":null`, 1), "r%d", "r2", 1),
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

// TestOddPolicy guards against a withdrawn key that stays in force because another part of the policy can't be read.
func TestOddPolicy(t *testing.T) {
	odd := strings.NewReplacer("r%d", "r2", "%s", "other", `"priority":1,"service":"shop"`, `"priority":"high","service":"shop"`)
	for _, mode := range storeModes {
		convey.Convey("With "+mode.name+", a key is refused from a policy on that takes it away, whatever else is odd there", t, func() {
			f := newFleet(t, 2+mode.added, withFeatures(mode.features))
			f.waitReady()
			f.store.Put(platform.KeyPolicy, []byte(odd.Replace(policyText)))
			convey.So(eventually(func() bool { return f.refusesKeys("/a/x", http.StatusUnauthorized) }), convey.ShouldBeTrue)
			for _, m := range f.nodes {
				convey.So(eventually(func() bool {
					s, _ := m.sendKey("/a/x", fmt.Sprint("other", time.Now().UnixNano()), "Bearer other")
					return s == http.StatusOK && strings.Contains(m.log.String(), "event=policy_part_unread ")
				}), convey.ShouldBeTrue)
			}
			convey.Convey("also by processes that have it as their first", func() {
				for _, m := range f.nodes {
					f.restart(m)
				}
				convey.So(eventually(func() bool { return f.refusesKeys("/a/x", http.StatusUnauthorized) }), convey.ShouldBeTrue)
				s, _ := f.nodes[0].sendWith("POST", "/b/x", "first", "order", "")
				convey.So(s, convey.ShouldEqual, http.StatusOK)
			})
		})
	}
	convey.Convey("Keys whose account can't be read are refused as not known, and come back with the next policy", t, func() {
		f := newFleet(t, 2)
		f.waitReady()
		f.putAccounts(2, `"tenants":{"acme":{"api_keys":{},"priority":1}}`)
		answers := func(want int) func() bool {
			return func() bool {
				for i, m := range f.nodes {
					if s, _ := m.sendKey("/a/x", fmt.Sprint("u", i, time.Now().UnixNano()), "Bearer "+key); s != want {
						return false
					}
				}
				return true
			}
		}
		convey.So(eventually(answers(http.StatusServiceUnavailable)), convey.ShouldBeTrue)
		f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 3, key))
		convey.So(eventually(answers(http.StatusOK)), convey.ShouldBeTrue)
	})
}
