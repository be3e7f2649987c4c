package grant

import "github.com/pomeloworks/pomelo"

// Change applies a change of the account's rate and burst to one of its shards, at the time at which this node learns of it; since and ownedFor describe this node's ownership of the shard as in Issue.
//
// All shards together never hold more than one bucket with the next limits would: a shard that comes into use starts empty, one that is no longer used loses its tokens, and where the burst is cut into more shards, the earlier ones keep their tokens only as far as the others have not earned theirs.
func (b *Buckets) Change(now, since, ownedFor pomelo.Millis, resource string, shard int, previous, next pomelo.ClientAccount) {
	before, after := pomelo.ShardOf(previous, shard), pomelo.ShardOf(next, shard)
	x := b.bucket(now, ownership{since: since, duration: ownedFor}, resource, before)
	x.applyLimits(now, before)
	factor := 0.0
	if x.excess > 0 {
		factor = x.drainFactor
	}
	x.rate = after.Rate
	x.burst = after.Burst
	x.excess = 0
	if after.Burst > 0 && next.Burst >= previous.Burst {
		x.drainFactor = float64(pomelo.ShardCount(next))/float64(pomelo.ShardCount(previous))*(1+factor) - 1
		x.excess = max(0, x.tokens+x.outstanding-x.burst)
	}
	x.clip()
}
