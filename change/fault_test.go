package change_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const setA = "set account A rate 100 burst 200"

// faultCases each start with an empty store; the result of a command must agree with the store's content afterwards.
var faultCases = []struct {
	name  string
	check func(r *rig)
}{
	{"the store's response is lost after the write: accepted at the written revision", checkLostResponse},
	{"the store is down before the command: refused, and nothing is written", checkDownBefore},
	{"the store goes down between read and write: in doubt, and the repeated command resolves it", checkDownDuring},
	{"the store goes down after the write: in doubt, and the repeated command finds the write", checkDownAfter},
	{"the store is down briefly during the command: accepted", checkBriefOutage},
	{"a delayed write arrives late: the second write fences it", checkSlowWrite},
	{"a repeated command that is in doubt stays in doubt while the store is down", checkRepeatDown},
	{"the store's response to an issued key is lost: the first result still holds the secret", checkLostIssueResponse},
}

func TestFaults(t *testing.T) {
	for _, f := range faultCases {
		convey.Convey(f.name, t, func() { f.check(newRig(t)) })
	}
}

func checkLostResponse(r *rig) {
	out, err := r.execute(r.hookedChanger(nil, map[int]func(){1: r.setFault(pomelo.StoreFault{DropResponses: 1})}), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	_, revision := r.account()
	convey.So(out.Revision, convey.ShouldEqual, revision)
	convey.So(revision, convey.ShouldEqual, 1)
}

func checkDownBefore(r *rig) {
	r.server.SetFault(pomelo.StoreFault{Down: true})
	_, err := r.execute(r.hookedChanger(nil, nil), "1", setA)
	shouldBeFault(err, pomelo.KindStoreUnavailable, pomelo.RanNo)
	r.server.SetFault(pomelo.StoreFault{})
	_, revision := r.account()
	convey.So(revision, convey.ShouldEqual, 0)
}

func checkDownDuring(r *rig) {
	_, err := r.execute(r.hookedChanger(nil, map[int]func(){1: r.setFault(pomelo.StoreFault{Down: true})}), "1", setA)
	shouldBeFault(err, pomelo.KindInDoubt, pomelo.RanUnknown)
	r.server.SetFault(pomelo.StoreFault{})
	out, err := r.repeat(r.hookedChanger(nil, nil), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Repeated, convey.ShouldBeFalse)
	convey.So(out.Revision, convey.ShouldEqual, 1)
}

func checkDownAfter(r *rig) {
	gets := map[int]func(){2: r.setFault(pomelo.StoreFault{Down: true})}
	_, err := r.execute(r.hookedChanger(gets, map[int]func(){1: r.setFault(pomelo.StoreFault{DropResponses: 1})}), "1", setA)
	shouldBeFault(err, pomelo.KindInDoubt, pomelo.RanUnknown)
	r.server.SetFault(pomelo.StoreFault{})
	out, err := r.repeat(r.hookedChanger(nil, nil), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Repeated, convey.ShouldBeTrue)
	convey.So(out.Revision, convey.ShouldEqual, 1)
}

func checkBriefOutage(r *rig) {
	gets := map[int]func(){4: r.setFault(pomelo.StoreFault{})}
	out, err := r.execute(r.hookedChanger(gets, map[int]func(){1: r.setFault(pomelo.StoreFault{Down: true})}), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Revision, convey.ShouldEqual, 1)
}

func checkSlowWrite(r *rig) {
	late := storeTimeout + 50
	gets := map[int]func(){2: r.setFault(pomelo.StoreFault{})}
	out, err := r.execute(r.hookedChanger(gets, map[int]func(){1: r.setFault(pomelo.StoreFault{Delay: late})}), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	other, err := r.execute(r.changer(r.store), "2", "set account A rate 7")
	convey.So(err, convey.ShouldBeNil)
	// The delayed write has arrived once a second write with a longer delay has been answered.
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
	_, err := r.execute(r.hookedChanger(nil, map[int]func(){1: r.setFault(pomelo.StoreFault{Down: true})}), "1", setA)
	shouldBeFault(err, pomelo.KindInDoubt, pomelo.RanUnknown)
	_, err = r.repeat(r.hookedChanger(nil, nil), "1", setA)
	shouldBeFault(err, pomelo.KindInDoubt, pomelo.RanUnknown)
}

func checkLostIssueResponse(r *rig) {
	_, err := r.execute(r.changer(r.store), "1", setA)
	convey.So(err, convey.ShouldBeNil)
	out, err := r.execute(r.hookedChanger(nil, map[int]func(){1: r.setFault(pomelo.StoreFault{DropResponses: 1})}), "2", "issue key for A")
	convey.So(err, convey.ShouldBeNil)
	convey.So(out.Secret, convey.ShouldNotBeBlank)
	repeated, err := r.repeat(r.changer(r.store), "2", "issue key for A")
	convey.So(err, convey.ShouldBeNil)
	convey.So(repeated.KeyID, convey.ShouldEqual, out.KeyID)
	convey.So(repeated.Revision, convey.ShouldEqual, out.Revision)
	convey.So(repeated.Secret, convey.ShouldBeBlank)
	convey.So(repeated.Note, convey.ShouldContainSubstring, "first answer only")
	l, err := r.store.List(context.Background(), pomelo.PrefixKey)
	convey.So(err, convey.ShouldBeNil)
	convey.So(len(l.Records), convey.ShouldEqual, 1)
}
