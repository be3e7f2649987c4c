package change_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const setA = "set account A rate 100 burst 200"

// faultCases starts each with an empty store; what a command says must be what the store shows afterwards.
var faultCases = []struct {
	name  string
	check func(r *rig)
}{
	{"the answer is lost after the effect: accepted at the true revision", checkLost},
	{"the store is down before: refused, and nothing is written", checkDownBefore},
	{"the store goes down between read and write: not known yet, and the repeat settles it", checkDownDuring},
	{"the store goes down after the effect: not known yet, and the repeat finds it", checkDownAfter},
	{"the store is down for a moment in the middle: accepted", checkBlink},
	{"a slow write arrives late: the second write fences it", checkSlowWrite},
	{"a repeat of what is in doubt is not called refused while the store is down", checkRepeatDown},
	{"an issued key's answer is lost: the secret still comes with the first answer", checkIssueLost},
}

func TestFaults(t *testing.T) {
	for _, f := range faultCases {
		convey.Convey(f.name, t, func() { f.check(newRig(t)) })
	}
}

func checkLost(r *rig) {
	out, err := r.do(r.scripted(nil, map[int]func(){1: r.fault(pomelo.StoreFault{DropResponses: 1})}), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	_, revision := r.account()
	convey.So(out.Revision, convey.ShouldEqual, revision)
	convey.So(revision, convey.ShouldEqual, 1)
}

func checkDownBefore(r *rig) {
	r.server.SetFault(pomelo.StoreFault{Down: true})
	_, err := r.do(r.scripted(nil, nil), "1", setA)
	shouldBe(err, pomelo.KindStoreUnavailable, pomelo.RanNo)
	r.server.SetFault(pomelo.StoreFault{})
	_, revision := r.account()
	convey.So(revision, convey.ShouldEqual, 0)
}

func checkDownDuring(r *rig) {
	_, err := r.do(r.scripted(nil, map[int]func(){1: r.fault(pomelo.StoreFault{Down: true})}), "1", setA)
	shouldBe(err, pomelo.KindInDoubt, pomelo.RanUnknown)
	r.server.SetFault(pomelo.StoreFault{})
	out, err := r.repeat(r.scripted(nil, nil), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Repeated, convey.ShouldBeFalse)
	convey.So(out.Revision, convey.ShouldEqual, 1)
}

func checkDownAfter(r *rig) {
	gets := map[int]func(){2: r.fault(pomelo.StoreFault{Down: true})}
	_, err := r.do(r.scripted(gets, map[int]func(){1: r.fault(pomelo.StoreFault{DropResponses: 1})}), "1", setA)
	shouldBe(err, pomelo.KindInDoubt, pomelo.RanUnknown)
	r.server.SetFault(pomelo.StoreFault{})
	out, err := r.repeat(r.scripted(nil, nil), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Repeated, convey.ShouldBeTrue)
	convey.So(out.Revision, convey.ShouldEqual, 1)
}

func checkBlink(r *rig) {
	gets := map[int]func(){4: r.fault(pomelo.StoreFault{})}
	out, err := r.do(r.scripted(gets, map[int]func(){1: r.fault(pomelo.StoreFault{Down: true})}), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Revision, convey.ShouldEqual, 1)
}

func checkSlowWrite(r *rig) {
	late := storeTimeout + 50
	gets := map[int]func(){2: r.fault(pomelo.StoreFault{})}
	out, err := r.do(r.scripted(gets, map[int]func(){1: r.fault(pomelo.StoreFault{Delay: late})}), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	other, err := r.do(r.changer(r.store), "2", "set account A rate 7")
	convey.So(err, convey.ShouldBeNil)
	// The late write has surely arrived once a second slow one has been answered.
	r.server.SetFault(pomelo.StoreFault{Delay: 3 * late})
	_, err = r.store.Put(context.Background(), pomelo.Write{Key: "other"})
	convey.So(err, convey.ShouldBeNil)
	r.server.SetFault(pomelo.StoreFault{})
	a, revision := r.account()
	convey.So(out.Revision, convey.ShouldBeLessThan, other.Revision)
	convey.So(revision, convey.ShouldEqual, other.Revision)
	convey.So(a, convey.ShouldResemble, pomelo.ClientAccount{Name: "A", Rate: 7, Burst: 200})
}

func checkRepeatDown(r *rig) {
	_, err := r.do(r.scripted(nil, map[int]func(){1: r.fault(pomelo.StoreFault{Down: true})}), "1", setA)
	shouldBe(err, pomelo.KindInDoubt, pomelo.RanUnknown)
	_, err = r.repeat(r.scripted(nil, nil), "1", setA)
	shouldBe(err, pomelo.KindInDoubt, pomelo.RanUnknown)
}

func checkIssueLost(r *rig) {
	_, err := r.do(r.changer(r.store), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	out, err := r.do(r.scripted(nil, map[int]func(){1: r.fault(pomelo.StoreFault{DropResponses: 1})}), "2", "issue key for A")
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Secret, convey.ShouldNotBeBlank)
	again, err := r.repeat(r.changer(r.store), "2", "issue key for A")
	convey.So(err, convey.ShouldBeNil)
	convey.So(again.KeyID, convey.ShouldEqual, out.KeyID)
	convey.So(again.Revision, convey.ShouldEqual, out.Revision)
	convey.So(again.Secret, convey.ShouldBeBlank)
	convey.So(again.Note, convey.ShouldContainSubstring, "first answer only")
	l, err := r.store.List(context.Background(), pomelo.PrefixKey)
	convey.So(err, convey.ShouldBeNil)
	convey.So(len(l.Records), convey.ShouldEqual, 1)
}
