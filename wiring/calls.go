package wiring

import (
	"hash/maphash"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/allow"
	"github.com/pomeloworks/pomelo/certs"
	"github.com/pomeloworks/pomelo/claim"
	"github.com/pomeloworks/pomelo/config"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/entry"
	"github.com/pomeloworks/pomelo/fixed"
	"github.com/pomeloworks/pomelo/gate"
	"github.com/pomeloworks/pomelo/health"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/local"
	"github.com/pomeloworks/pomelo/member"
	"github.com/pomeloworks/pomelo/perhop"
	"github.com/pomeloworks/pomelo/pick"
	"github.com/pomeloworks/pomelo/quorum"
	"github.com/pomeloworks/pomelo/rates"
	"github.com/pomeloworks/pomelo/retry"
	"github.com/pomeloworks/pomelo/room"
	"github.com/pomeloworks/pomelo/send"
	"github.com/pomeloworks/pomelo/serve"
	"github.com/pomeloworks/pomelo/shed"
	"github.com/pomeloworks/pomelo/tally"
)

func newLimiter(n *Node, c pomelo.Clock) pomelo.ConcurrencyLimiter {
	switch n.settings.Limits.Control {
	case pomelo.ControlNone:
		return allow.New()
	case pomelo.ControlFixed:
		return fixed.New(c, fixed.WithQueueLimit(n.settings.Limits.Queue))
	}
	return gate.New(c, gate.WithSettings(n.settings.Limits), gate.WithSeed(newSeed()))
}

func newServe(n *Node, c pomelo.Clock, v *config.View, w *health.Monitor, l *ledger.Ledger, m pomelo.Metrics, log pomelo.Logger) *serve.Server {
	return serve.New(c, v, w, l, m, serve.WithBodyLimit(n.settings.Limits.BodyBytes), serve.WithLog(log))
}

func newSender(n *Node, c pomelo.Clock, r *member.Registry, d *dialer.Pool, s *serve.Server, m pomelo.Metrics) *send.Sender {
	var opts []func(*send.Sender)
	if !n.settings.Limits.IsDisabled(pomelo.FeatureRetryBudget) {
		opts = append(opts, send.WithRetryBudget(retry.New(c)))
	}
	return send.New(c, r, newPicker(n, c), d, s, m, opts...)
}

func newPicker(n *Node, c pomelo.Clock) *pick.Picker {
	if n.settings.Limits.IsDisabled(pomelo.FeatureZoneAffinity) {
		return pick.New(c, newSeed())
	}
	return pick.New(c, newSeed(), pick.WithAvailabilityZone(n.settings.Node.AvailabilityZone))
}

func newSeed() uint64 {
	return maphash.Bytes(maphash.MakeSeed(), nil)
}

func newClaims(n *Node, c pomelo.Clock, k *quorum.Coordinator, r *member.Registry, d *dialer.Pool, s *serve.Server, next *send.Sender) *claim.Table {
	return claim.New(c, k, r, d, s, withHopRetries(n, c, next), claim.WithPeers(d))
}

// newUpstreamHandler returns the handler of the upstream's calls to other services; it counts their outcomes.
func newUpstreamHandler(n *Node, c pomelo.Clock, v *config.View, t *tally.Tally, next *send.Sender) pomelo.Handler {
	return t.Wrap(v, withHopRetries(n, c, next))
}

// withHopRetries adds independent retries at each hop, unless the node runs full control: the baselines retry in this way.
func withHopRetries(n *Node, c pomelo.Clock, next *send.Sender) pomelo.Handler {
	if n.settings.Limits.Control == pomelo.ControlFull || n.settings.Limits.Control == "" {
		return next
	}
	return perhop.New(next, c, n.settings.Limits.Retries)
}

// newCallerHandler returns the handler of callers' requests: full control sheds load at the entry, and a request with an idempotency key goes to the key's owner.
func newCallerHandler(n *Node, c pomelo.Clock, v *config.View, t *tally.Tally, b *claim.Table, next *send.Sender, m pomelo.Metrics) pomelo.Handler {
	l := n.settings.Limits
	if l.Control == pomelo.ControlFixed || l.Control == pomelo.ControlNone || l.IsDisabled(pomelo.FeatureEntryShedding) {
		return t.Wrap(v, b.CallerHandler(withHopRetries(n, c, next)))
	}
	return t.Wrap(v, shed.New(c, b.CallerHandler(next), m, shed.WithSeed(newSeed())))
}

func newEntry(n *Node, c pomelo.Clock, v *config.View, a *rates.Limiter, s *send.Sender, b *claim.Table, t *tally.Tally, k *certs.Reloader, x *binder, q room.Limits, m pomelo.Metrics, log pomelo.Logger) *entry.Server {
	return entry.New(c, v, a, newCallerHandler(n, c, v, t, b, s, m), m, log, entry.WithLimits(n.settings.Limits), entry.WithOutcomeRecorder(t), entry.WithTLS(k.TLSConfig()), entry.WithListener(x.bind("callers", q.Callers())))
}

func newLocal(n *Node, c pomelo.Clock, v *config.View, l *ledger.Ledger, next *send.Sender, s *serve.Server, r *member.Registry, t *tally.Tally, w *health.Monitor, x *binder, q room.Limits, log pomelo.Logger) *local.Server {
	announce := func(u pomelo.Upstream) {
		if u == s.Upstream() {
			return
		}
		s.Announce(u)
		w.SetUpstream(u)
		r.UpdateSelf(func(m *pomelo.Member) {
			m.Service = u.Service
			m.Slots = u.Slots
			m.Connections = u.Connections
		})
		log.Info("upstream_announced", "service", u.Service, "address", u.Address, "slots", u.Slots)
	}
	return local.New(v, l, newUpstreamHandler(n, c, v, t, next), announce, log, local.WithBodyLimit(n.settings.Limits.BodyBytes), local.WithHeadLimit(n.settings.Limits.HeadBytes), local.WithListener(x.bind("upstream", q.Upstream())))
}
