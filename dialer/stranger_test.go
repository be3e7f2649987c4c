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

// nobody is a membership that knows no one yet, as after the caller's restart.
type nobody struct{ pomelo.Membership }

func (nobody) ByFingerprint(string) (pomelo.Member, bool) { return pomelo.Member{}, false }

func TestStranger(t *testing.T) {
	convey.Convey("A call to a node that does not know the caller's certificate yet has not run", t, func() {
		var ran atomic.Int64
		h := handler(func(_ context.Context, c pomelo.Call) pomelo.Answer {
			ran.Add(1)
			return pomelo.Answer{CallID: c.ID, Status: 200}
		})
		codec := wire.New()
		serving := newIdentity()
		s := listen.New(serving, codec, nobody{}, h, quiet{})
		convey.So(s.Start("127.0.0.1:0"), convey.ShouldBeNil)
		defer s.Close()
		p := dialer.New(newIdentity(), codec)
		defer p.Close()
		m := pomelo.Member{VM: "b", Address: s.Address(), Fingerprint: serving.Fingerprint()}
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
