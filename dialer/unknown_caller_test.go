package dialer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/listen"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/smartystreets/goconvey/convey"
)

// noMembers is a membership without members, like that of a node that has not yet learned of the caller's restart.
type noMembers struct{ pomelo.Membership }

func (noMembers) ByFingerprint(string) (pomelo.Member, bool) { return pomelo.Member{}, false }

func TestStranger(t *testing.T) {
	convey.Convey("A call to a node that does not know the caller's certificate yet is refused as not run", t, func() {
		var ran atomic.Int64
		h := handler(func(_ context.Context, c pomelo.Call) pomelo.Answer {
			ran.Add(1)
			return pomelo.Answer{CallID: c.ID, Status: 200}
		})
		codec := wire.New()
		identity := newIdentity()
		s := listen.New(identity, codec, noMembers{}, h, noLog{})
		convey.So(s.Start("127.0.0.1:0"), convey.ShouldBeNil)
		defer s.Close()
		p := dialer.New(newIdentity(), codec)
		defer p.Close()
		m := pomelo.Member{VM: "b", Address: s.Address(), Fingerprint: identity.Fingerprint()}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			a := p.Send(ctx, m, pomelo.Call{ID: id, NonIdempotent: true})
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindPeerLost)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		}
		convey.So(ran.Load(), convey.ShouldEqual, 0)
	})
}
