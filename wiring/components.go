package wiring

import (
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/admin"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/certs"
	"github.com/pomeloworks/pomelo/claim"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/config"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/entry"
	"github.com/pomeloworks/pomelo/fence"
	"github.com/pomeloworks/pomelo/follow"
	"github.com/pomeloworks/pomelo/gather"
	"github.com/pomeloworks/pomelo/gossip"
	"github.com/pomeloworks/pomelo/health"
	"github.com/pomeloworks/pomelo/ident"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/listen"
	"github.com/pomeloworks/pomelo/local"
	"github.com/pomeloworks/pomelo/member"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/pomeloworks/pomelo/query"
	"github.com/pomeloworks/pomelo/quorum"
	"github.com/pomeloworks/pomelo/rates"
	"github.com/pomeloworks/pomelo/serve"
	"github.com/pomeloworks/pomelo/tally"
	"github.com/pomeloworks/pomelo/wire"
	"go.uber.org/fx"
)

const (
	incarnationDigits = 16
	// watchesPerKeyAge is the number of watches within the maximum age of keys, so that a response arrives well before keys are no longer trusted.
	watchesPerKeyAge = 8
)

// components are the parts of a node that its lifecycle uses.
type components struct {
	fx.In

	Clock       pomelo.Clock
	Log         pomelo.Logger
	Identity    *ident.Identity
	Members     *member.Registry
	Coordinator *quorum.Coordinator
	Rates       *rates.Limiter
	Config      *config.View
	Follower    *follow.Follower
	Gossiper    *gossip.Gossiper
	Dialer      *dialer.Pool
	Listen      *listen.Server
	Serve       *serve.Server
	Fence       *fence.Table
	Claims      *claim.Table
	Entry       *entry.Server
	Local       *local.Server
	Admin       *admin.Server
	Health      *health.Monitor
	Certs       *certs.Reloader
}

func providers() fx.Option {
	return fx.Provide(
		newClock,
		func(c pomelo.MonotonicClock) pomelo.Clock { return c },
		newLogger,
		newStore,
		ident.New,
		newCodec,
		newRoom,
		newBudget,
		newBinder,
		func() *metric.Sink { return metric.New() },
		func(s *metric.Sink) pomelo.Metrics { return s },
		mirror.New,
		newFollower,
		newGossiper,
		newRegistry,
		newCoordinator,
		newRateLimiter,
		func(k *quorum.Coordinator) pomelo.Ownership { return k },
		newConfig,
		newDialer,
		newLimiter,
		ledger.New,
		newServe,
		newSender,
		newClaims,
		func(c pomelo.Clock, b *claim.Table, s *serve.Server) *fence.Table {
			return fence.New(c, b.PeerHandler(s))
		},
		newListen,
		newCertReloader,
		newEntry,
		newLocal,
		query.New,
		tally.New,
		func(t *tally.Tally) pomelo.OutcomeRecorder { return t },
		newHealthMonitor,
		newCollector,
		newChanger,
		newTableBuilder,
		newRunner,
		newBurnReporter,
		newUsageMeter,
		newAdmin,
	)
}

func newClock(n *Node) pomelo.MonotonicClock {
	if n.clock != nil {
		return n.clock
	}
	return clock.New()
}

func newCodec(n *Node) *wire.Codec {
	return wire.New(wire.WithLimits(n.settings.Limits.HeadBytes, n.settings.Limits.BodyBytes))
}

func newDialer(n *Node, i *ident.Identity, c *wire.Codec, m pomelo.Metrics) *dialer.Pool {
	return dialer.New(i, c, dialer.WithMetrics(m), dialer.WithDialTimeout(n.settings.Limits.ConnectTimeout))
}

func newListen(i *ident.Identity, c *wire.Codec, r *member.Registry, f *fence.Table, w *gossip.Gossiper, q *gather.Collector, k *quorum.Coordinator, a *rates.Limiter, b *claim.Table, memory *budget.Budget, log pomelo.Logger) *listen.Server {
	l := listen.New(i, c, r, f, log, listen.WithFencer(f), listen.WithBudget(memory))
	l.RegisterResponder(pomelo.MessageGossip, w.Answer)
	l.RegisterResponder(pomelo.MessageDrain, r.AnswerDrain)
	l.RegisterResponder(pomelo.MessageReport, q.Answer)
	l.RegisterResponder(pomelo.MessageHeartbeat, k.Answer)
	l.RegisterResponder(pomelo.MessageGrant, a.Answer)
	l.RegisterResponder(pomelo.MessageHandover, b.ReceiveHandover)
	l.RegisterResponder(pomelo.MessageClaim, b.AnswerClaimQuery)
	return l
}
