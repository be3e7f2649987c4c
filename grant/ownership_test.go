package grant

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// TestBucketOutlivesOwnership guards against an account that gets its burst again because the start of its shard's ownership is another one, as after many changes of the members.
func TestBucketOutlivesOwnership(t *testing.T) {
	convey.Convey("A bucket that was used up holds only what it has earned since, whichever ownership it is in", t, func() {
		const now, longOwned = pomelo.Millis(1_000_000), pomelo.Millis(500_000)
		limits := pomelo.RateShard{Rate: 1, Burst: 10}
		request := pomelo.GrantRequest{Account: "growers", Tokens: 10, TTL: MaxTTL}
		b := New(1)
		convey.So(b.Issue(now, 1, longOwned, "shard", limits, request).Tokens, convey.ShouldEqual, 10)
		convey.So(b.Issue(now+2_000, 2, longOwned, "shard", limits, request).Tokens, convey.ShouldBeLessThanOrEqualTo, 2)
		convey.So(b.Issue(now+4_000, 3, 0, "shard", limits, request).Tokens, convey.ShouldEqual, 0)
	})
}
