package proof_test

import (
	"flag"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/proof"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const maxAge = pomelo.Millis(5_000)

func TestProof(t *testing.T) {
	convey.Convey("Given a policy of version 5, proven at 10 s in the store's first epoch", t, func() {
		p := proof.New(maxAge)
		p.ObserveEpoch(1, 9_000)
		convey.So(p.Confirm(5, 1, 10_000), convey.ShouldBeTrue)

		convey.Convey("a return proves nothing until the operators had time to write again", func() {
			convey.So(p.ObserveEpoch(2, 10_500), convey.ShouldBeTrue)
			convey.So(p.Confirm(5, 2, 10_600), convey.ShouldBeFalse)
			convey.So(p.Confirm(5, 1, 10_600), convey.ShouldBeFalse)
			at, _ := p.ProvenAt()
			convey.So(at, convey.ShouldEqual, 10_000)
			convey.So(p.Confirm(5, 2, 12_500), convey.ShouldBeTrue)
		})
		convey.Convey("but the wait ends before the earlier proof is too old, so that a short absence refuses nothing", func() {
			p.ObserveEpoch(2, 13_000)
			convey.So(p.Confirm(5, 2, 13_799), convey.ShouldBeFalse)
			convey.So(p.Confirm(5, 2, 13_800), convey.ShouldBeTrue)
		})
		convey.Convey("a peer's later version is not disproved by the copy", func() {
			p.ObserveEpoch(2, 10_500)
			p.ObservePeer(6, 2, 100, true, 10_600)
			convey.So(p.Confirm(5, 2, 20_000), convey.ShouldBeFalse)
			convey.So(p.Confirm(6, 2, 20_000), convey.ShouldBeTrue)
		})
	})
	convey.Convey("A process that starts after a return learns from a peer how long ago it was", t, func() {
		p := proof.New(maxAge)
		p.ObserveEpoch(2, 10_000)
		p.ObservePeer(5, 2, 500, true, 10_100)
		convey.So(p.Confirm(5, 2, 11_599), convey.ShouldBeFalse)
		convey.So(p.Confirm(5, 2, 11_600), convey.ShouldBeTrue)
	})
}

// TestWithdrawal withdraws a key in version 2 and lets the store return from a copy with version 1 at a random time; the operators write version 2 again within a second. No process that has version 1 proves it longer than maxAge after the withdrawal, whoever tells it what.
func TestWithdrawal(t *testing.T) {
	_ = flag.Set("rapid.seed", "1")
	rapid.Check(t, func(t *rapid.T) {
		p := proof.New(maxAge)
		p.ObserveEpoch(1, 0)
		withdrawnAt := pomelo.Millis(rapid.IntRange(1, 5_000).Draw(t, "withdrawn"))
		returnedAt := withdrawnAt + pomelo.Millis(rapid.IntRange(0, 3_000).Draw(t, "returned"))
		rewrittenAt := returnedAt + pomelo.Millis(rapid.IntRange(0, 1_000).Draw(t, "rewritten"))
		isCut := rapid.Bool().Draw(t, "cut")
		for now := pomelo.Millis(0); now < 20_000; now += pomelo.Millis(rapid.IntRange(50, 900).Draw(t, "wait")) {
			switch {
			case now < withdrawnAt:
				p.Confirm(1, 1, now)
			case now < returnedAt:
				if !isCut {
					return
				}
			case now < rewrittenAt:
				p.ObserveEpoch(2, now)
				p.Confirm(1, 2, now)
			default:
				return
			}
			if at, _ := p.ProvenAt(); at > withdrawnAt+maxAge {
				t.Fatalf("version 1 is proven at %d, withdrawn at %d", at, withdrawnAt)
			}
		}
	})
}
