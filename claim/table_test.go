package claim_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/claim"
	"github.com/smartystreets/goconvey/convey"
)

func TestClaims(t *testing.T) {
	convey.Convey("Given three nodes, one of which owns all keys", t, func() {
		cl := newCluster()
		key := keyAt(start)
		convey.Convey("repeated calls through any node get the first answer and do not run", func() {
			for _, vm := range []string{"b", "a", "c", "b"} {
				a := cl.placeOrder(vm, key, "1")
				convey.So(a.Refusal, convey.ShouldBeNil)
				convey.So(string(a.Body), convey.ShouldEqual, "answer of 1")
				convey.So(a.CallID, convey.ShouldEqual, "o")
			}
			convey.So(cl.runsOf("1"), convey.ShouldEqual, 1)
		})
		convey.Convey("a different request with the same key is refused", func() {
			cl.placeOrder("b", key, "1")
			a := cl.placeOrder("c", key, "2")
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindIdempotencyKeyReused)
			convey.So(cl.runsOf("2"), convey.ShouldEqual, 0)
		})
		convey.Convey("a key with a timestamp in the future is not claimed, so that timestamps of claimed keys can be relied on", func() {
			a := cl.placeOrder("b", keyAt(start+6_000), "1")
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindBadRequest)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
		convey.Convey("after a call that did not run, the key can be used again", func() {
			succeed := cl.answer
			cl.answer = func(c pomelo.Call) pomelo.Answer {
				return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindRateExceeded, "", ""))
			}
			convey.So(cl.placeOrder("b", key, "1").Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			cl.answer = succeed
			convey.So(cl.placeOrder("b", key, "1").Refusal, convey.ShouldBeNil)
		})
		convey.Convey("a call in doubt keeps its claim, and a repeated call does not run", func() {
			cl.answer = func(c pomelo.Call) pomelo.Answer {
				f := pomelo.NewFault(pomelo.KindInDoubt, "", "")
				f.Ran = pomelo.RanUnknown
				return pomelo.Refuse(c.ID, f)
			}
			convey.So(cl.placeOrder("b", key, "1").Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			convey.So(cl.placeOrder("c", key, "1").Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			convey.So(cl.runsOf("1"), convey.ShouldEqual, 1)
		})
		convey.Convey("a call goes on after its caller disconnects; a repeated call is refused as in progress while it runs and gets the answer later", func() {
			release := make(chan struct{})
			running := make(chan struct{})
			succeed := cl.answer
			cl.answer = func(c pomelo.Call) pomelo.Answer {
				close(running)
				<-release
				return succeed(c)
			}
			ctx, disconnect := context.WithCancel(context.Background())
			c := pomelo.Call{ID: "o", Account: "growers", Service: "shop", Method: http.MethodPost, Path: "/orders", IdempotencyKey: key, Body: []byte("1"), Deadline: start + 5000}
			answers := make(chan pomelo.Answer)
			go func() { answers <- cl.tables["b"].CallerHandler(nil).Handle(ctx, c) }()
			<-running
			disconnect()
			convey.So((<-answers).Refusal.Kind, convey.ShouldEqual, pomelo.KindInProgress)
			c.Deadline = start + 10
			a := cl.tables["c"].CallerHandler(nil).Handle(context.Background(), c)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindInProgress)
			convey.So(a.Refusal.RetryAfter, convey.ShouldBeGreaterThan, 0)
			close(release)
			convey.So(string(cl.placeOrder("c", key, "1").Body), convey.ShouldEqual, "answer of 1")
			convey.So(cl.runsOf("1"), convey.ShouldEqual, 1)
		})
	})
}

func TestClaimsWhenTheOwnerChanges(t *testing.T) {
	cases := []struct {
		name string
		key  func(change pomelo.Millis) string
		runs int
	}{
		{"with a timestamp before the change", func(at pomelo.Millis) string { return keyAt(at - 1) }, 0},
		{"with a timestamp within the clock skew after the change", func(at pomelo.Millis) string { return keyAt(at + 4_000) }, 0},
		{"with a timestamp later than the clock skew after the change", func(at pomelo.Millis) string { return keyAt(at + 9_000) }, 1},
		{"without a timestamp", func(pomelo.Millis) string { return "plain" }, 0},
	}
	convey.Convey("After an unplanned loss of the owner", t, func() {
		for _, e := range cases {
			convey.Convey("a key "+e.name, func() {
				cl := newCluster()
				cl.unresponsive["a"] = true
				cl.changeOwner("b")
				key := e.key(cl.clock.Now())
				cl.clock.Advance(10_000)
				a := cl.placeOrder("c", key, "1")
				convey.So(cl.runsOf("1"), convey.ShouldEqual, e.runs)
				if e.runs == 0 {
					convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
					convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
				}
			})
		}
		convey.Convey("a call whose key has no timestamp runs again after the retention time", func() {
			cl := newCluster()
			cl.unresponsive["a"] = true
			cl.changeOwner("b")
			cl.clock.Advance(600_000)
			convey.So(cl.placeOrder("c", "plain", "1").Refusal, convey.ShouldBeNil)
		})
	})
	convey.Convey("After a planned handover the new owner knows the claims, and calls with keys new to both owners run", t, func() {
		cl := newCluster()
		used, unused := keyAt(start), keyAt(start+1)
		convey.So(cl.placeOrder("b", used, "1").Refusal, convey.ShouldBeNil)
		since := cl.ownedSince
		cl.changeOwner("b")
		convey.So(cl.tables["a"].HandOver(context.Background(), cl, since), convey.ShouldBeNil)
		a := cl.placeOrder("c", used, "1")
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(string(a.Body), convey.ShouldEqual, "answer of 1")
		convey.So(cl.placeOrder("c", used, "2").Refusal.Kind, convey.ShouldEqual, pomelo.KindIdempotencyKeyReused)
		convey.So(cl.placeOrder("c", unused, "3").Refusal, convey.ShouldBeNil)
		convey.So(cl.runsOf("1"), convey.ShouldEqual, 1)
	})
	convey.Convey("After a change of owner with the previous owner still running, the new owner queries it", t, func() {
		cl := newCluster()
		used, unused := keyAt(start), keyAt(start+1)
		convey.So(cl.placeOrder("b", used, "1").Refusal, convey.ShouldBeNil)
		cl.changeOwner("b")
		convey.So(string(cl.placeOrder("c", used, "1").Body), convey.ShouldEqual, "answer of 1")
		convey.So(cl.placeOrder("c", unused, "2").Refusal, convey.ShouldBeNil)
		convey.So(cl.placeOrder("c", keyAt(start-4_000_000), "3").Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
		convey.So(cl.runsOf("1"), convey.ShouldEqual, 1)
	})
	convey.Convey("A node that has lost ownership runs no call", t, func() {
		cl := newCluster()
		cl.changeOwner("b")
		a := cl.tables["a"].PeerHandler(nil).Handle(context.Background(), pomelo.Call{ID: "o", Service: "shop", Method: http.MethodPost, IdempotencyKey: keyAt(start), ToKeyOwner: true, TimeLeft: 5000})
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindNotAuthoritative)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
	})
}

func TestClaimBounds(t *testing.T) {
	convey.Convey("Given a claim table at its limits", t, func() {
		convey.Convey("a new key over the limit is refused as not run, and known keys still get their answers", func() {
			cl := newCluster(claim.WithLimits(2, 1<<20))
			keys := []string{keyAt(start), keyAt(start), keyAt(start)}
			for i, k := range keys {
				a := cl.placeOrder("a", k, fmt.Sprint(i))
				convey.So(a.Refusal == nil, convey.ShouldEqual, i < 2)
			}
			convey.So(cl.runsOf("2"), convey.ShouldEqual, 0)
			convey.So(cl.placeOrder("a", keys[0], "0").Refusal, convey.ShouldBeNil)
		})
		convey.Convey("a repeated call whose answer was dropped over the size limit is told that the call ran", func() {
			cl := newCluster(claim.WithLimits(9, 700))
			keys := []string{keyAt(start), keyAt(start)}
			for i, k := range keys {
				cl.placeOrder("a", k, fmt.Sprint(i))
			}
			convey.So(cl.placeOrder("a", keys[0], "0").Refusal.Ran, convey.ShouldEqual, pomelo.RanYes)
			convey.So(cl.runsOf("0"), convey.ShouldEqual, 1)
		})
		convey.Convey("a key with a timestamp is in doubt after its claim expired, and its call does not run again", func() {
			cl := newCluster()
			key := keyAt(start)
			cl.placeOrder("a", key, "1")
			cl.clock.Advance(700_000)
			convey.So(cl.placeOrder("a", key, "1").Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
			convey.So(cl.runsOf("1"), convey.ShouldEqual, 1)
		})
	})
}

func TestFirstOwners(t *testing.T) {
	convey.Convey("Owners of the first generation know that no key was claimed earlier", t, func() {
		cl := newCluster()
		cl.ownedSince = cl.clock.Now()
		cl.previous = pomelo.Member{}
		convey.So(cl.placeOrder("c", "plain", "1").Refusal, convey.ShouldBeNil)
		convey.So(cl.placeOrder("c", keyAt(cl.clock.Now()-1_000), "2").Refusal, convey.ShouldBeNil)
		convey.Convey("but a key older than the retention time is in doubt", func() {
			old := keyAt(cl.clock.Now() - 3_600_000)
			convey.So(cl.placeOrder("c", old, "3").Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
		})
	})
}
