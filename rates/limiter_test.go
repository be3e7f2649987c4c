package rates

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

const longHeld = pomelo.Millis(1 << 40)

// site is two nodes of which one is the home of everything, if there is one.
type site struct {
	pomelo.Configuration
	account pomelo.ClientAccount
	home    *Limiter
	lost    bool
	unknown bool
}

func (s *site) Account(name string) (pomelo.ClientAccount, bool) {
	return s.account, name == s.account.Name
}

// node is what one node sees of the site.
type node struct {
	pomelo.Membership
	site *site
	self string
}

func (n node) Self() pomelo.Member { return pomelo.Member{VM: n.self, Incarnation: n.self} }

func (n node) Owner(string) (pomelo.Member, bool) {
	return pomelo.Member{VM: "home", Incarnation: "home"}, !n.site.unknown
}

func (n node) IsOwner(string) bool { return n.self == "home" }

func (n node) OwnedSince(string) pomelo.Millis {
	if n.self == "home" {
		return 1
	}
	return 0
}

func (n node) OwnedFor(string) pomelo.Millis { return longHeld }

func (n node) Request(_ context.Context, _ pomelo.Member, _ pomelo.MessageKind, request, reply any) error {
	if n.site.lost {
		return pomelo.NewFault(pomelo.KindPeerLost, "gone", "none")
	}
	*reply.(*pomelo.GrantReply) = n.site.home.grantAll(request.(pomelo.GrantBatch).Requests)
	return nil
}

func (s *site) limiter(self string, first uint64) *Limiter {
	n := node{site: s, self: self}
	return New(s, n, n, n, clock.New(), metric.New(), first)
}

func admitted(l *Limiter, n int) (whole int, last error) {
	for range n {
		err := l.Admit(context.Background(), "growers")
		if err == nil {
			whole++
			continue
		}
		last = err
	}
	return whole, last
}

func TestLimiter(t *testing.T) {
	convey.Convey("Given an account that earns one request in a thousand seconds, and a burst of 20", t, func() {
		s := &site{account: pomelo.ClientAccount{Name: "growers", Rate: 0.001, Burst: 20}}
		s.home = s.limiter("home", 1)
		other := s.limiter("other", 1<<32)
		convey.Convey("home and other node together admit the burst and not one more", func() {
			a, _ := admitted(other, 12)
			b, _ := admitted(s.home, 12)
			c, err := admitted(other, 12)
			convey.So(a, convey.ShouldEqual, 12)
			convey.So(a+b+c, convey.ShouldBeLessThanOrEqualTo, 20)
			convey.So(a+b+c, convey.ShouldBeGreaterThanOrEqualTo, 19)
			convey.So(pomelo.IsKind(err, pomelo.KindRateExceeded), convey.ShouldBeTrue)
			convey.So(pomelo.FaultOf(err).RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("a home that can't be reached admits nothing", func() {
			s.lost = true
			n, err := admitted(other, 2)
			convey.So(n, convey.ShouldEqual, 0)
			convey.So(pomelo.FaultOf(err).RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("without a known home the refusal says so", func() {
			s.unknown = true
			_, err := admitted(other, 1)
			convey.So(pomelo.IsKind(err, pomelo.KindNotAuthoritative), convey.ShouldBeTrue)
		})
		convey.Convey("an account without a rate is refused", func() {
			err := other.Admit(context.Background(), "nobody")
			convey.So(pomelo.IsKind(err, pomelo.KindRateExceeded), convey.ShouldBeTrue)
		})
	})
}
