package wiring

import (
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/config"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/follow"
	"github.com/pomeloworks/pomelo/gossip"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/pomeloworks/pomelo/member"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/pomeloworks/pomelo/quorum"
	"github.com/pomeloworks/pomelo/rates"
)

func newStore(n *Node, m pomelo.Metrics) pomelo.Store {
	if n.store != nil {
		return n.store
	}
	return kvhttp.New(n.settings.Store.URL, kvhttp.WithTimeout(n.settings.Store.Timeout), kvhttp.WithMetrics(m))
}

func newFollower(n *Node, store pomelo.Store, m *mirror.Mirror, c pomelo.Clock, log pomelo.Logger) *follow.Follower {
	watchWait := min(n.settings.Store.WatchWait, n.settings.Limits.KeyMaxAge/watchesPerKeyAge)
	return follow.New(store, m, c, log, follow.WithWatchWait(watchWait))
}

func newGossiper(n *Node, r *member.Registry, m *mirror.Mirror, d *dialer.Pool, c pomelo.Clock, f *follow.Follower, v *config.View) *gossip.Gossiper {
	gossiper := gossip.New(r, m, d, c, f.StoreReadAt, gossip.WithMaxAge(n.settings.Limits.KeyMaxAge))
	f.SetReadCondition(gossiper.ShouldReadStore)
	v.SetFreshnessCheck(gossiper.IsFresh)
	return gossiper
}

func newRegistry(n *Node, store pomelo.Store, m *mirror.Mirror, c pomelo.Clock, log pomelo.Logger) *member.Registry {
	return member.New(store, m, c, log, member.WithMinLeaseTTL(n.settings.Store.LeaseTTL))
}

func newConfig(m *mirror.Mirror, log pomelo.Logger) *config.View {
	return config.New(m, log)
}

func newCoordinator(n *Node, r *member.Registry, store pomelo.Store, d *dialer.Pool, c pomelo.Clock, log pomelo.Logger) *quorum.Coordinator {
	return quorum.New(r, store, d, c, log, quorum.WithOwnershipTTL(n.settings.Limits.OwnershipTTL), quorum.WithWatchWait(n.settings.Store.WatchWait))
}

func newRateLimiter(v *config.View, k *quorum.Coordinator, r *member.Registry, d *dialer.Pool, c pomelo.MonotonicClock, m pomelo.Metrics) *rates.Limiter {
	l := rates.New(v, k, r, d, c, m, newSeed())
	v.OnAccounts(l.ApplyAccounts)
	return l
}
