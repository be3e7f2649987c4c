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
	convey.Convey("Given three nodes of which one owns the keys", t, func() {
		w := newWorld()
		key := keyAt(start)
		convey.Convey("repeats through any node get the first answer and run nothing", func() {
			for _, vm := range []string{"b", "a", "c", "b"} {
				a := w.order(vm, key, "1")
				convey.So(a.Refusal, convey.ShouldBeNil)
				convey.So(string(a.Body), convey.ShouldEqual, "answer of 1")
				convey.So(a.CallID, convey.ShouldEqual, "o")
			}
			convey.So(w.total("1"), convey.ShouldEqual, 1)
		})
		convey.Convey("another request under the key is an error", func() {
			w.order("b", key, "1")
			a := w.order("c", key, "2")
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindIdempotencyKeyReused)
			convey.So(w.total("2"), convey.ShouldEqual, 0)
		})
		convey.Convey("a key from the future is not claimed, so that its time can be trusted later", func() {
			a := w.order("b", keyAt(start+6_000), "1")
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindBadRequest)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
		convey.Convey("a call that did not run leaves the key free", func() {
			good := w.answer
			w.answer = func(c pomelo.Call) pomelo.Answer {
				return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindRateExceeded, "", ""))
			}
			convey.So(w.order("b", key, "1").Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
			w.answer = good
			convey.So(w.order("b", key, "1").Refusal, convey.ShouldBeNil)
		})
		convey.Convey("a call in doubt keeps the key, and a repeat does not run", func() {
			w.answer = func(c pomelo.Call) pomelo.Answer {
				f := pomelo.NewFault(pomelo.KindInDoubt, "", "")
				f.Ran = pomelo.RanUnknown
				return pomelo.Refuse(c.ID, f)
			}
			convey.So(w.order("b", key, "1").Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			convey.So(w.order("c", key, "1").Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			convey.So(w.total("1"), convey.ShouldEqual, 1)
		})
		convey.Convey("a caller that goes away leaves the call running, a repeat in the meantime is in progress, a later one gets the answer", func() {
			let := make(chan struct{})
			running := make(chan struct{})
			good := w.answer
			w.answer = func(c pomelo.Call) pomelo.Answer {
				close(running)
				<-let
				return good(c)
			}
			ctx, leave := context.WithCancel(context.Background())
			c := pomelo.Call{ID: "o", Account: "growers", Service: "shop", Method: http.MethodPost, Path: "/orders", IdempotencyKey: key, Body: []byte("1"), Deadline: start + 5000}
			answers := make(chan pomelo.Answer)
			go func() { answers <- w.books["b"].Entered(nil).Handle(ctx, c) }()
			<-running
			leave()
			convey.So((<-answers).Refusal.Kind, convey.ShouldEqual, pomelo.KindInProgress)
			c.Deadline = start + 10
			a := w.books["c"].Entered(nil).Handle(context.Background(), c)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindInProgress)
			convey.So(a.Refusal.RetryAfter, convey.ShouldBeGreaterThan, 0)
			close(let)
			convey.So(string(w.order("c", key, "1").Body), convey.ShouldEqual, "answer of 1")
			convey.So(w.total("1"), convey.ShouldEqual, 1)
		})
	})
}

func TestClaimsWhenTheOwnerChanges(t *testing.T) {
	cases := []struct {
		name string
		key  func(change pomelo.Millis) string
		runs int
	}{
		{"made before the change", func(at pomelo.Millis) string { return keyAt(at - 1) }, 0},
		{"made within the clocks' skew after it", func(at pomelo.Millis) string { return keyAt(at + 4_000) }, 0},
		{"made well after it", func(at pomelo.Millis) string { return keyAt(at + 9_000) }, 1},
		{"without a time", func(pomelo.Millis) string { return "plain" }, 0},
	}
	convey.Convey("After an unplanned loss of the owner", t, func() {
		for _, e := range cases {
			convey.Convey("a key "+e.name, func() {
				w := newWorld()
				w.silent["a"] = true
				w.change("b")
				key := e.key(w.clock.Now())
				w.clock.Advance(10_000)
				a := w.order("c", key, "1")
				convey.So(w.total("1"), convey.ShouldEqual, e.runs)
				if e.runs == 0 {
					convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
					convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
				}
			})
		}
		convey.Convey("a key without a time runs again once the horizon has passed", func() {
			w := newWorld()
			w.silent["a"] = true
			w.change("b")
			w.clock.Advance(600_000)
			convey.So(w.order("c", "plain", "1").Refusal, convey.ShouldBeNil)
		})
	})
	convey.Convey("After a planned leave the next owner knows the claims, and keys that are new to both run", t, func() {
		w := newWorld()
		used, fresh := keyAt(start), keyAt(start+1)
		convey.So(w.order("b", used, "1").Refusal, convey.ShouldBeNil)
		since := w.since
		w.change("b")
		convey.So(w.books["a"].Leave(context.Background(), w, since), convey.ShouldBeNil)
		a := w.order("c", used, "1")
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(string(a.Body), convey.ShouldEqual, "answer of 1")
		convey.So(w.order("c", used, "2").Refusal.Kind, convey.ShouldEqual, pomelo.KindIdempotencyKeyReused)
		convey.So(w.order("c", fresh, "3").Refusal, convey.ShouldBeNil)
		convey.So(w.total("1"), convey.ShouldEqual, 1)
	})
	convey.Convey("After a change that leaves the owner before in place, it is asked", t, func() {
		w := newWorld()
		used, fresh := keyAt(start), keyAt(start+1)
		convey.So(w.order("b", used, "1").Refusal, convey.ShouldBeNil)
		w.change("b")
		convey.So(string(w.order("c", used, "1").Body), convey.ShouldEqual, "answer of 1")
		convey.So(w.order("c", fresh, "2").Refusal, convey.ShouldBeNil)
		convey.So(w.order("c", keyAt(start-4_000_000), "3").Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
		convey.So(w.total("1"), convey.ShouldEqual, 1)
	})
	convey.Convey("A node that lost its standing runs nothing", t, func() {
		w := newWorld()
		w.change("b")
		a := w.books["a"].Owned(nil).Handle(context.Background(), pomelo.Call{ID: "o", Service: "shop", Method: http.MethodPost, IdempotencyKey: keyAt(start), ToKeyOwner: true, TimeLeft: 5000})
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindNotAuthoritative)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
	})
}

func TestClaimBounds(t *testing.T) {
	convey.Convey("Given a book at its bounds", t, func() {
		convey.Convey("a new key over the number is refused as not run, and known ones are still answered", func() {
			w := newWorld(claim.WithLimits(2, 1<<20))
			keys := []string{keyAt(start), keyAt(start), keyAt(start)}
			for i, k := range keys {
				a := w.order("a", k, fmt.Sprint(i))
				convey.So(a.Refusal == nil, convey.ShouldEqual, i < 2)
			}
			convey.So(w.total("2"), convey.ShouldEqual, 0)
			convey.So(w.order("a", keys[0], "0").Refusal, convey.ShouldBeNil)
		})
		convey.Convey("an answer dropped for its bytes says that the call ran", func() {
			w := newWorld(claim.WithLimits(9, 700))
			keys := []string{keyAt(start), keyAt(start)}
			for i, k := range keys {
				w.order("a", k, fmt.Sprint(i))
			}
			convey.So(w.order("a", keys[0], "0").Refusal.Ran, convey.ShouldEqual, pomelo.RanYes)
			convey.So(w.total("0"), convey.ShouldEqual, 1)
		})
		convey.Convey("a key with a time is in doubt, not run again, once its claim is forgotten", func() {
			w := newWorld()
			key := keyAt(start)
			w.order("a", key, "1")
			w.clock.Advance(700_000)
			convey.So(w.order("a", key, "1").Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
			convey.So(w.total("1"), convey.ShouldEqual, 1)
		})
	})
}

func TestFirstOwners(t *testing.T) {
	convey.Convey("Owners of the first generation know that no key came before them", t, func() {
		w := newWorld()
		w.since = w.clock.Now()
		w.before = pomelo.Member{}
		convey.So(w.order("c", "plain", "1").Refusal, convey.ShouldBeNil)
		convey.So(w.order("c", keyAt(w.clock.Now()-1_000), "2").Refusal, convey.ShouldBeNil)
		convey.Convey("but not what a key was good for longer ago than claims are kept", func() {
			old := keyAt(w.clock.Now() - 3_600_000)
			convey.So(w.order("c", old, "3").Refusal.Kind, convey.ShouldEqual, pomelo.KindInDoubt)
		})
	})
}
