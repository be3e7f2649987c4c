package rates

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

const longOwned = pomelo.Millis(1 << 40)

// site is two nodes of which one owns every shard.
type site struct {
	pomelo.Configuration
	account          pomelo.ClientAccount
	owner            *Limiter
	ownerUnreachable bool
	ownerUnknown     bool
}

func (s *site) Account(name string) (pomelo.ClientAccount, bool) {
	return s.account, name == s.account.Name
}

// node is the site as one of its nodes sees it.
type node struct {
	pomelo.Membership
	site *site
	self string
}

func (n node) Self() pomelo.Member { return pomelo.Member{VM: n.self, Incarnation: n.self} }

func (n node) Owner(string) (pomelo.Member, bool) {
	return pomelo.Member{VM: "owner", Incarnation: "owner"}, !n.site.ownerUnknown
}

func (n node) IsOwner(string) bool { return n.self == "owner" }

func (n node) OwnedSince(string) pomelo.Millis {
	if n.self == "owner" {
		return 1
	}
	return 0
}

func (n node) OwnedFor(string) pomelo.Millis { return longOwned }

func (n node) Request(_ context.Context, _ pomelo.Member, _ pomelo.MessageKind, request, reply any) error {
	if n.site.ownerUnreachable {
		return pomelo.NewFault(pomelo.KindPeerLost, "gone", "none")
	}
	*reply.(*pomelo.GrantReply) = n.site.owner.issueAll(request.(pomelo.GrantBatch).Requests)
	return nil
}

func (s *site) limiter(self string, startID uint64) *Limiter {
	n := node{site: s, self: self}
	return New(s, n, n, n, clock.New(), metric.New(), startID)
}

func admitAll(l *Limiter, n int) (count int, last error) {
	for range n {
		err := l.Admit(context.Background(), pomelo.Call{Account: "growers"})
		if err == nil {
			count++
			continue
		}
		last = err
	}
	return count, last
}

func TestLimiter(t *testing.T) {
	convey.Convey("Given an account that earns one request in a thousand seconds, and a burst of 20", t, func() {
		s := &site{account: pomelo.ClientAccount{Name: "growers", Rate: 0.001, Burst: 20}}
		s.owner = s.limiter("owner", 1)
		other := s.limiter("other", 1<<32)
		convey.Convey("the owner and the other node together admit the burst and no more", func() {
			a, _ := admitAll(other, 12)
			b, _ := admitAll(s.owner, 12)
			c, err := admitAll(other, 12)
			convey.So(a, convey.ShouldEqual, 12)
			convey.So(a+b+c, convey.ShouldBeLessThanOrEqualTo, 20)
			convey.So(a+b+c, convey.ShouldBeGreaterThanOrEqualTo, 19)
			convey.So(pomelo.IsKind(err, pomelo.KindRateExceeded), convey.ShouldBeTrue)
			convey.So(pomelo.FaultOf(err).RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("an unreachable owner leads to refusals", func() {
			s.ownerUnreachable = true
			n, err := admitAll(other, 2)
			convey.So(n, convey.ShouldEqual, 0)
			convey.So(pomelo.FaultOf(err).RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("an unreachable owner is no sign that the account asks for more than its rate", func() {
			_, _ = admitAll(other, 5)
			s.ownerUnreachable = true
			n, _ := admitAll(other, 20)
			convey.So(n, convey.ShouldBeLessThan, 20)
			const window, leastImportant, lastShare = 200, 0, 0.999
			t := other.account(s.account).tiers
			convey.So(t.Admits(other.clock.Now()+window, leastImportant, lastShare), convey.ShouldBeTrue)
		})
		convey.Convey("a refusal without a known owner says so", func() {
			s.ownerUnknown = true
			_, err := admitAll(other, 1)
			convey.So(pomelo.IsKind(err, pomelo.KindNotAuthoritative), convey.ShouldBeTrue)
		})
		convey.Convey("no series of changes gives it the burst again", func() {
			steps := []func(a *pomelo.ClientAccount){
				func(a *pomelo.ClientAccount) { a.Burst = 17 },
				func(a *pomelo.ClientAccount) { a.Burst = 8 },
				func(a *pomelo.ClientAccount) { a.Burst = 4 },
				func(a *pomelo.ClientAccount) { a.Burst = 9 },
				func(a *pomelo.ClientAccount) { a.Rate, a.Burst = 0, 20 },
				func(a *pomelo.ClientAccount) { a.Rate = 0.001 },
				func(a *pomelo.ClientAccount) { a.Burst = 40 },
				func(a *pomelo.ClientAccount) { a.Burst = 20 },
			}
			admitted, _ := admitAll(other, 40)
			for _, change := range steps {
				change(&s.account)
				s.owner.ApplyAccounts([]pomelo.ClientAccount{s.account})
				n, _ := admitAll(other, 3)
				admitted += n
			}
			convey.So(admitted, convey.ShouldBeLessThanOrEqualTo, 20)
			convey.So(admitted, convey.ShouldBeGreaterThanOrEqualTo, 19)
		})
		convey.Convey("one that is removed and put back has what it had", func() {
			admitted, _ := admitAll(other, 10)
			account := s.account
			s.account = pomelo.ClientAccount{Name: "else", Rate: 0.001, Burst: 5}
			s.owner.ApplyAccounts([]pomelo.ClientAccount{s.account})
			s.account = account
			s.owner.ApplyAccounts([]pomelo.ClientAccount{s.account})
			n, _ := admitAll(other, 20)
			convey.So(admitted+n, convey.ShouldBeLessThanOrEqualTo, 20)
			convey.So(admitted+n, convey.ShouldBeGreaterThanOrEqualTo, 19)
		})
		convey.Convey("an account without a rate is refused", func() {
			err := other.Admit(context.Background(), pomelo.Call{Account: "nobody"})
			convey.So(pomelo.IsKind(err, pomelo.KindRateExceeded), convey.ShouldBeTrue)
		})
	})
}
