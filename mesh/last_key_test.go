package mesh_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/platform"
	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/smartystreets/goconvey/convey"
)

// accountsText is the table of client accounts in policyText.
const accountsText = `"tenants":{"acme":{"api_keys":["%s"],"priority":1,"rate_per_s":100000,"burst":100000}}`

// putAccounts writes the policy with another table of client accounts, or without one.
func (f *fleet) putAccounts(version int, accounts string) {
	text := strings.Replace(policyText, accountsText, accounts, 1)
	if accounts == "" {
		text = strings.Replace(text, ",\n}", "}", 1)
	}
	f.store.Put(platform.KeyPolicy, []byte(strings.Replace(text, "r%d", fmt.Sprintf("r%d", version), 1)))
}

// sendKey sends a request with this Authorization header, or without one.
func (m *member) sendKey(path, id, authorization string) (int, string) {
	return m.sendWith("GET", path, id, "", authorization)
}

// refusesKeys reports whether every node refuses a request on the route with the given status, whichever key it has.
func (f *fleet) refusesKeys(path string, status int) bool {
	for i, m := range f.nodes {
		for j, authorization := range []string{"Bearer " + key, "Bearer never", "Bearer", "Bearer  ", ""} {
			if s, _ := m.sendKey(path, fmt.Sprint("k", i, j, time.Now().UnixNano()), authorization); s != status {
				return false
			}
		}
	}
	return true
}

// TestLastKeyWithdrawn guards against CONFIG: the withdrawal of the last key opens the routes to everyone.
func TestLastKeyWithdrawn(t *testing.T) {
	tables := map[string]string{
		"an empty table of accounts":        `"tenants":{}`,
		"an account without keys":           `"tenants":{"acme":{"api_keys":[],"priority":1,"rate_per_s":100000,"burst":100000}}`,
		"an account without any field":      `"tenants":{"acme":{}}`,
		"an account with an empty key only": `"tenants":{"acme":{"api_keys":[""],"priority":1}}`,
		"no table of accounts":              "",
	}
	for name, accounts := range tables {
		convey.Convey("After a policy with "+name+" every node refuses requests that need a key", t, func() {
			f := newFleet(t, 2)
			f.waitReady()
			f.putAccounts(5, accounts)
			convey.So(eventually(func() bool { return f.refusesKeys("/a/x", http.StatusUnauthorized) }), convey.ShouldBeTrue)
			status, _ := f.nodes[0].sendWith("POST", "/b/x", "open", "order", "")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.Convey("also once all nodes were killed and have that policy as their first", func() {
				for _, m := range f.nodes {
					m.node.Kill()
				}
				http.DefaultClient.CloseIdleConnections()
				for _, m := range f.nodes {
					convey.So(f.start(m), convey.ShouldBeNil)
				}
				answered := 0
				for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					status, _ := f.nodes[answered%2].sendKey("/a/x", fmt.Sprint("again", answered), "Bearer "+key)
					convey.So(status, convey.ShouldNotEqual, http.StatusOK)
					answered++
				}
				convey.So(eventually(func() bool { return f.refusesKeys("/a/x", http.StatusUnauthorized) }), convey.ShouldBeTrue)
			})
		})
	}
}

// TestPolicyWithoutAccounts guards against keys that are asked for although no policy has had accounts.
func TestPolicyWithoutAccounts(t *testing.T) {
	convey.Convey("Without accounts from the first policy on, requests need no key", t, func() {
		f := &fleet{t: t, store: fake.New()}
		go f.store.Run(t.Context())
		f.putAccounts(1, "")
		f.addNode(0)
		m := f.nodes[0]
		served := func() bool {
			_ = m.heartbeat("ready", int(time.Now().UnixMilli()))
			s, _ := m.sendKey("/a/x", fmt.Sprint(time.Now().UnixNano()), "")
			return s == http.StatusOK
		}
		convey.So(eventually(served), convey.ShouldBeTrue)
		f.putAccounts(2, "")
		time.Sleep(200 * time.Millisecond)
		convey.So(served(), convey.ShouldBeTrue)
	})
}

// TestMovedKey guards against a key that keeps its earlier account, and against a route that stays open.
func TestMovedKey(t *testing.T) {
	convey.Convey("A key counts for the account that the newest policy gives it to", t, func() {
		f := newFleet(t, 2)
		f.waitReady()
		f.putAccounts(2, fmt.Sprintf(`"tenants":{"acme":{"api_keys":[]},"other":{"api_keys":["%s"],"rate_per_s":1000,"burst":1000}}`, key))
		for _, m := range f.nodes {
			convey.So(eventually(func() bool {
				s, body := m.sendKey("/a/x", fmt.Sprint("m", time.Now().UnixNano()), "Bearer "+key)
				return s == http.StatusOK && strings.Contains(body, "account=other ")
			}), convey.ShouldBeTrue)
		}
	})
	convey.Convey("A route that is no longer open needs a key, also while there is no account", t, func() {
		f := newFleet(t, 2)
		f.waitReady()
		closed := strings.Replace(strings.Replace(policyText, accountsText, `"tenants":{}`, 1), `"public":true`, `"public":false`, 1)
		f.store.Put(platform.KeyPolicy, []byte(strings.Replace(closed, "r%d", "r2", 1)))
		convey.So(eventually(func() bool { return f.refusesKeys("/b/x", http.StatusUnauthorized) }), convey.ShouldBeTrue)
	})
}

// TestAccountWithoutLimit guards against requests of an account that are refused for a rate it does not have, and against an account with a rate and no burst that is never served.
func TestAccountWithoutLimit(t *testing.T) {
	const requests = 40
	limits := map[string]struct {
		fields  string
		limited bool
	}{
		"without a rate and a burst": {``, false},
		"with a rate and burst of 0": {`,"rate_per_s":0,"burst":0`, false},
		"with a burst, and no rate":  {`,"burst":3`, false},
		"with a rate, and no burst":  {`,"rate_per_s":1`, true},
		"with a rate and a burst":    {`,"rate_per_s":1,"burst":3`, true},
	}
	for name, tc := range limits {
		convey.Convey(fmt.Sprint("An account ", name, " is limited: ", tc.limited), t, func() {
			f := newFleet(t, 1)
			f.waitReady()
			f.putAccounts(2, fmt.Sprintf(`"tenants":{"free":{"api_keys":["%s"],"priority":1%s}}`, key, tc.fields))
			m := f.nodes[0]
			// Rates have owners some seconds after the start of a fleet.
			convey.So(eventually(func() bool {
				s, body := m.sendKey("/a/x", fmt.Sprint("first", time.Now().UnixNano()), "Bearer "+key)
				return s == http.StatusOK && strings.Contains(body, "account=free ")
			}), convey.ShouldBeTrue)
			seen := map[int]int{}
			for n := range requests {
				s, _ := m.sendKey("/a/x", fmt.Sprint("n", n), "Bearer "+key)
				seen[s]++
			}
			convey.So(seen[http.StatusOK]+seen[http.StatusTooManyRequests], convey.ShouldEqual, requests)
			convey.So(seen[http.StatusTooManyRequests] > 0, convey.ShouldEqual, tc.limited)
		})
	}
}
