package view_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/view"
	"github.com/smartystreets/goconvey/convey"
)

const waitTimeout = 5 * time.Second

// staticStore is a pomelo.Store whose records never change.
type staticStore struct {
	pomelo.Store
	policy pomelo.Record
}

// List returns the policy.
func (s staticStore) List(_ context.Context, prefix string) (pomelo.Listing, error) {
	l := pomelo.Listing{Revision: 5}
	if prefix == s.policy.Key {
		l.Records = []pomelo.Record{s.policy}
	}
	return l, nil
}

// Watch reports no changes.
func (s staticStore) Watch(ctx context.Context, _ string, since pomelo.Revision, _ pomelo.Millis) (pomelo.Listing, error) {
	<-ctx.Done()
	return pomelo.Listing{Revision: since}, ctx.Err()
}

func parse(b []byte) (pomelo.PolicySpec, error) {
	return pomelo.PolicySpec{Version: int64(b[0])}, nil
}

func TestFreshness(t *testing.T) {
	convey.Convey("The ages in a reply to a peer are never lower than those of the node's own read", t, func() {
		k := clock.New(clock.WithManual(50_000))
		self := func() pomelo.Member { return pomelo.Member{VM: "a"} }
		s := staticStore{policy: pomelo.Record{Key: "policy", Value: []byte{3}, Revision: 5}}
		v := view.New(s, k, logs.New(io.Discard), "policy", parse, self, view.WithPeers(nil, metric.New()))
		_, err := v.Answer(context.Background(), pomelo.Member{}, nil)
		convey.So(pomelo.IsKind(err, pomelo.KindNotAuthoritative), convey.ShouldBeTrue)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go v.Run(ctx)
		<-v.Listed()
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, ok := v.Policy(); ok && v.MembersAge() < 1_000 && v.Age() < 1_000 {
				break
			}
		}
		cancel()
		k.Advance(400)
		r, err := v.Answer(context.Background(), pomelo.Member{}, nil)
		convey.So(err, convey.ShouldBeNil)
		p := r.(view.Freshness)
		convey.So(p.PolicyVersion, convey.ShouldEqual, 3)
		convey.So(p.WatchedRevision, convey.ShouldEqual, 5)
		convey.So(p.PolicyAge, convey.ShouldBeGreaterThanOrEqualTo, 400)
		convey.So(p.MembersAge, convey.ShouldBeGreaterThanOrEqualTo, 400)
		convey.So(v.Age(), convey.ShouldEqual, p.PolicyAge)
	})
}
