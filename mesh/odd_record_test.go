package mesh_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// oddMembers are records that no node writes, by the rest of their key.
var oddMembers = map[string]string{
	"nested":       strings.Repeat("[", 100_000),
	"nested-field": `{"vm":"nested-field","service":` + strings.Repeat(`{"a":`, 20_000) + "1",
	"number":       `{"vm":"number","address":"127.0.0.1:7000","service":"shop","slots":1e400}`,
	"slots":        `{"vm":"slots","address":"127.0.0.1:7000","service":"shop","upstream_id":"i-s","slots":9223372036854775807}`,
	"negative":     `{"vm":"negative","address":"127.0.0.1:7000","service":"shop","upstream_id":"i-n","slots":-5}`,
	"port":         `{"vm":"port","address":"127.0.0.1:99999","fingerprint":"00","service":"shop","upstream_id":"i-p","slots":50}`,
	"port-0":       `{"vm":"port-0","address":"127.0.0.1:0","fingerprint":"00","service":"shop","upstream_id":"i-0","slots":50}`,
	"no-port":      `{"vm":"no-port","address":"127.0.0.1","fingerprint":"00","service":"shop","upstream_id":"i-1","slots":50}`,
	"no-address":   `{"vm":"no-address","service":"shop","upstream_id":"i-2","slots":50}`,
	"null":         `null`,
	"text":         "\x00\xff",
	"other":        `{"vm":"else","address":"127.0.0.1:7000","service":"shop"}`,
}

// TestOddMemberRecord guards against nodes that end, stop following the list or send calls nowhere because another writer left an odd record among those of the members.
func TestOddMemberRecord(t *testing.T) {
	for _, mode := range storeModes {
		convey.Convey("With "+mode.name+", odd records name no member, and the list is followed past them", t, func() {
			f := newFleet(t, 2+mode.added, withFeatures(mode.features))
			f.waitReady()
			for key, value := range oddMembers {
				f.store.Put(pomelo.PrefixMember+key, []byte(value))
			}
			f.addNode(len(f.nodes))
			f.waitReady()
			f.store.Compact()
			for n := range 100 {
				status, _ := f.nodes[n%len(f.nodes)].send("POST", "/b/x", fmt.Sprint("odd", n), "order")
				convey.So(status, convey.ShouldEqual, http.StatusOK)
			}
			// An order to a process that is being killed may end in doubt.
			f.restart(f.nodes[0])
			f.waitReady()
			for _, m := range f.nodes {
				convey.So(len(m.node.Members().All()), convey.ShouldEqual, len(f.nodes))
				convey.So(m.log.String(), convey.ShouldNotContainSubstring, "panic_recovered")
			}
		})
	}
}

// TestOverwrittenMemberRecord guards against a member that is lost because another writer has overwritten its record.
func TestOverwrittenMemberRecord(t *testing.T) {
	for _, mode := range storeModes {
		convey.Convey("With "+mode.name+", a member writes its record again after another writer has overwritten it", t, func() {
			f := newFleet(t, 2+mode.added, withFeatures(mode.features))
			f.waitReady()
			f.store.Put(pomelo.PrefixMember+f.nodes[0].settings.VM, []byte(oddMembers["nested"]))
			f.addNode(len(f.nodes))
			last := f.nodes[len(f.nodes)-1]
			convey.So(eventually(func() bool { return len(last.node.Members().All()) == len(f.nodes) }), convey.ShouldBeTrue)
			f.waitReady()
		})
	}
}

// oddHeartbeats are heartbeats that name no upstream to use.
var oddHeartbeats = []string{
	strings.Repeat("[", 60_000),
	`{"address":"127.0.0.1:99999","info":{"service":"shop","slots":50},"status":{"state":"ready","seq":9000},"born":1}`,
	`{"address":"127.0.0.1:0","info":{"service":"shop","slots":50},"status":{"state":"ready","seq":9000},"born":1}`,
	`{"address":"127.0.0.1","info":{"service":"shop","slots":50},"status":{"state":"ready","seq":9000},"born":1}`,
	`{"address":":7","info":{"service":"shop","slots":50},"status":{"state":"ready","seq":9000},"born":1}`,
	`{"address":"127.0.0.1:7","info":{"service":"shop","slots":1e300},"status":{"state":"ready","seq":9000},"born":1}`,
	`{"address":"127.0.0.1:7","info":{"service":"shop","slots":9223372036854775807},"status":{"state":"ready","seq":9000},"born":1}`,
	`{"address":"127.0.0.1:7","info":{"service":"shop","slots":50},"status":{"state":"ready","seq":9000},"born":9223372036854775807}`,
	`{"address":"127.0.0.1:7","info":{"service":"shop","slots":50},"status":{"state":"ready","seq":9000},"born":-9}`,
	`{"address":"127.0.0.1:7","info":{"service":"elsewhere","slots":50},"status":{"state":"ready","seq":9000},"born":2}`,
}

// TestOddHeartbeat guards against an upstream that is lost because another writer sent an odd heartbeat to its node.
func TestOddHeartbeat(t *testing.T) {
	for i, body := range oddHeartbeats {
		convey.Convey(fmt.Sprint("Odd heartbeat ", i, " is refused, and the upstream stays in use"), t, func() {
			f := newFleet(t, 1)
			f.waitReady()
			a := f.nodes[0]
			convey.So(a.postHeartbeat(body), convey.ShouldEqual, http.StatusBadRequest)
			convey.So(a.heartbeat("ready", 1_000), convey.ShouldEqual, http.StatusOK)
			time.Sleep(50 * time.Millisecond)
			status, _ := a.send("POST", "/b/x", "o", "order")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
		})
	}
}
