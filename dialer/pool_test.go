package dialer_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/ident"
	"github.com/pomeloworks/pomelo/listen"
	"github.com/pomeloworks/pomelo/relay"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/smartystreets/goconvey/convey"
)

const headLimit = 4096

// pair is a calling pool and a serving node, connected through a relay.
type pair struct {
	server *listen.Server
	relay  *relay.Relay
	pool   *dialer.Pool
	member pomelo.Member
}

// handler adapts a function to pomelo.Handler.
type handler func(ctx context.Context, c pomelo.Call) pomelo.Answer

func (h handler) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer { return h(ctx, c) }

// anyMember is a membership that accepts every certificate.
type anyMember struct{ pomelo.Membership }

func (anyMember) ByFingerprint(f string) (pomelo.Member, bool) {
	return pomelo.Member{VM: "a", Fingerprint: f}, true
}

type noLog struct{}

func (noLog) Info(string, ...any)  {}
func (noLog) Warn(string, ...any)  {}
func (noLog) Debug(string, ...any) {}

func newIdentity() *ident.Identity {
	i, err := ident.New()
	if err != nil {
		panic(err)
	}
	return i
}

func newPair(h pomelo.Handler) *pair {
	codec := wire.New(wire.WithLimits(headLimit, 1<<20))
	identity := newIdentity()
	var opts []func(*listen.Server)
	if f, ok := h.(pomelo.Fencer); ok {
		opts = append(opts, listen.WithFencer(f))
	}
	s := listen.New(identity, codec, anyMember{}, h, noLog{}, opts...)
	if err := s.Start("127.0.0.1:0"); err != nil {
		panic(err)
	}
	r, err := relay.New(s.Address())
	if err != nil {
		panic(err)
	}
	return &pair{
		server: s,
		relay:  r,
		pool:   dialer.New(newIdentity(), codec),
		member: pomelo.Member{VM: "b", Address: r.Address(), Fingerprint: identity.Fingerprint()},
	}
}

func (p *pair) close() {
	p.pool.Close()
	p.relay.Close()
	p.server.Close()
}

func order(id string) pomelo.Call {
	return pomelo.Call{ID: id, Service: "shop", Method: http.MethodPost, Path: "/orders", TimeLeft: 5000, NonIdempotent: true}
}

func TestSendRan(t *testing.T) {
	convey.Convey("Given a serving node", t, func() {
		var headerBytes atomic.Int64
		p := newPair(handler(func(_ context.Context, c pomelo.Call) pomelo.Answer {
			header := http.Header{"X-Long": {strings.Repeat("x", int(headerBytes.Load()))}}
			return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Header: header}
		}))
		defer p.close()
		convey.Convey("an answer whose head is over the limit becomes a refusal that says that the call ran", func() {
			headerBytes.Store(headLimit)
			a := p.pool.Send(context.Background(), p.member, order("1"))
			convey.So(a.Refusal, convey.ShouldNotBeNil)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanYes)
		})
		convey.Convey("a call cancelled before it was sent did not run", func() {
			convey.So(p.pool.Send(context.Background(), p.member, order("1")).Refusal, convey.ShouldBeNil)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			a := p.pool.Send(ctx, p.member, order("2"))
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
		convey.Convey("a call whose head is over the limit did not run", func() {
			c := order("1")
			c.Path = strings.Repeat("x", headLimit)
			a := p.pool.Send(context.Background(), p.member, c)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindTooLarge)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
		convey.Convey("a call to a node of another incarnation did not run", func() {
			p.member.Fingerprint = newIdentity().Fingerprint()
			a := p.pool.Send(context.Background(), p.member, order("1"))
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindPeerLost)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		})
	})
}
