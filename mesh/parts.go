package mesh

import (
	"context"
	"hash/maphash"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/beacon"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/fence"
	"github.com/pomeloworks/pomelo/ident"
	"github.com/pomeloworks/pomelo/inlet"
	"github.com/pomeloworks/pomelo/intake"
	"github.com/pomeloworks/pomelo/listen"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/place"
	"github.com/pomeloworks/pomelo/queue"
	"github.com/pomeloworks/pomelo/rates"
	"github.com/pomeloworks/pomelo/ratio"
	"github.com/pomeloworks/pomelo/send"
	"github.com/pomeloworks/pomelo/shed"
	"github.com/pomeloworks/pomelo/spool"
	"github.com/pomeloworks/pomelo/tenure"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/pomeloworks/pomelo/usage"
	"github.com/pomeloworks/pomelo/view"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/pomeloworks/pomelo/worker"
	"go.uber.org/fx"
)

const (
	// retryPart of the platform's share is spent, since sub-calls of repeated calls count as well.
	retryPart = 0.8
	// retryFloor is how many retries in ten seconds a node may send to a service that it hardly calls.
	retryFloor = 2
	// retryPace of the retries of ten seconds may be spent in one: about twice their mean.
	retryPace = 0.2
	// placements bounds the members that are asked for one call while none has sent it to an upstream.
	placements = 4
	// repeats bounds the attempts of a call that upstreams turn away: with half of all turned away, one call in 64 is left by then.
	repeats = 6
	// dialTimeout is for a peer within a region: some ten round trips, in milliseconds.
	dialTimeout = pomelo.Millis(250)
	// headBytes and bodyBytes bound a message between nodes.
	headBytes = 256 << 10
	bodyBytes = 64 << 20
)

// boot is the clock of all that has to hold over a suspension of the machine: the age of keys, leases, rights and grants.
type boot struct{ *clock.Clock }

// parts are what the node's life deals with.
type parts struct {
	fx.In
	Clock    *clock.Clock
	Spool    *spool.Spool
	Log      pomelo.Logger
	Metrics  *metric.Sink
	Identity *ident.Identity
	Beacon   *beacon.Announcer
	View     *view.View
	Tenure   *tenure.Tracker
	Rates    *rates.Limiter
	Worker   *worker.Worker
	Fence    *fence.Table
	Dialer   *dialer.Pool
	Listen   *listen.Server
	Inlet    *inlet.Server
	Queue    *queue.Queue
	Usage    *usage.Meter
}

func providers() fx.Option {
	return fx.Provide(
		func() *clock.Clock { return clock.New(clock.WithSteady()) },
		func() boot { return boot{clock.New(clock.WithBoot())} },
		func() *metric.Sink { return metric.New() },
		ident.New,
		func() *wire.Codec { return wire.New(wire.WithLimits(headBytes, bodyBytes)) },
		func(n *Node, c *clock.Clock) *spool.Spool { return spool.New(n.output, c) },
		newLogger,
		newBeacon,
		newView,
		newTenure,
		newDialer,
		newRates,
		newQueue,
		newWorker,
		newFence,
		newListen,
		newSender,
		newIntake,
		newInlet,
		func(c *clock.Clock, d *dialer.Pool, l *listen.Server) *usage.Meter { return usage.New(c, d, l) },
	)
}

func newLogger(n *Node, c *clock.Clock, s *spool.Spool) pomelo.Logger {
	return logs.New(s, logs.WithFields("vm", n.settings.VM), logs.WithClock(c))
}

func newBeacon(n *Node, c boot, i *ident.Identity, log pomelo.Logger) *beacon.Announcer {
	m := pomelo.Member{
		VM:               n.settings.VM,
		AvailabilityZone: n.settings.AvailabilityZone,
		Incarnation:      uuid.NewString(),
		Address:          n.settings.PeerAddress,
		Fingerprint:      i.Fingerprint(),
	}
	return beacon.New(n.host.Store, c, log, m)
}

func newView(n *Node, c boot, b *beacon.Announcer, d *dialer.Pool, m *metric.Sink, log pomelo.Logger) *view.View {
	return view.New(n.host.Store, c, log, n.host.PolicyKey, n.host.ParsePolicy, b.Member, view.WithPeers(d, m))
}

func newTenure(v *view.View, b *beacon.Announcer, c boot, log pomelo.Logger) *tenure.Tracker {
	var t *tenure.Tracker
	ask := func(m pomelo.Member) {
		go func() {
			revision, err := v.RequestMembersRevision(context.Background(), m)
			if err != nil {
				log.Debug("list_not_confirmed", "member", m.VM, "error", err.Error())
				return
			}
			t.ConfirmRevision(m, revision)
		}()
	}
	t = tenure.New(v, c, b.LeaseExpiresAt, tenure.WithRevisionRequest(ask))
	v.OnChange(t.ApplyChange, t.ApplyRelist)
	return t
}

func newDialer(i *ident.Identity, w *wire.Codec, c *clock.Clock, m *metric.Sink) *dialer.Pool {
	return dialer.New(i, w, dialer.WithClock(c), dialer.WithMetrics(m), dialer.WithDialTimeout(dialTimeout))
}

func newRates(v *view.View, t *tenure.Tracker, d *dialer.Pool, c boot, m *metric.Sink) *rates.Limiter {
	return rates.New(accounts{knowledge: v}, t, v, d, c, m, newSeed())
}

func newQueue(c *clock.Clock) *queue.Queue {
	return queue.New(c, newSeed())
}

func newWorker(n *Node, c *clock.Clock, q *queue.Queue, b *beacon.Announcer, m *metric.Sink, log pomelo.Logger) *worker.Worker {
	link := uplink.New(n.host.Dialect, c, m)
	changed := func(i pomelo.Instance, serving bool) {
		b.UpdateMember(func(x *pomelo.Member) {
			x.Service = i.Service
			x.Slots = i.Slots
			x.UpstreamID = ""
			if serving {
				x.UpstreamID = i.ID
			}
			x.UpstreamAddress = i.Address
			x.UpstreamStartedAt = i.StartedAt
			x.SetDraining(!serving || n.stopping.Load())
		})
	}
	return worker.New(c, q, link, m, log, changed)
}

func newFence(c *clock.Clock, w *worker.Worker) *fence.Table {
	return fence.New(c, w)
}

func newListen(i *ident.Identity, w *wire.Codec, v *view.View, f *fence.Table, r *rates.Limiter, log pomelo.Logger) *listen.Server {
	s := listen.New(i, w, v, f, log, listen.WithFencer(f))
	s.RegisterResponder(pomelo.MessageGrant, r.Answer)
	s.RegisterResponder(pomelo.MessageGossip, v.Answer)
	return s
}

func newSender(n *Node, c *clock.Clock, v *view.View, d *dialer.Pool, w *worker.Worker, m *metric.Sink) *send.Sender {
	p := place.New(c, n.settings.AvailabilityZone, newSeed())
	r := ratio.New(c, ratio.WithShare(retryPart*n.settings.RetryRatio, retryFloor), ratio.WithPerSecondShare(retryPace))
	return send.New(c, v, p, d, w, m, send.WithRetryBudget(r), send.WithMaxPlacements(placements), send.WithMaxAttempts(repeats))
}

func newIntake(n *Node, c *clock.Clock, v *view.View, r *rates.Limiter, s *send.Sender, w *worker.Worker, m *metric.Sink, log pomelo.Logger) *intake.Intake {
	entry := shed.New(c, s, m, shed.WithSeed(newSeed()))
	return intake.New(c, n.host.Dialect, v, r, entry, s, w, m, log, n.settings.Service, n.settings.KeyMaxAge)
}

func newInlet(c *clock.Clock, i *intake.Intake, v *view.View, m *metric.Sink, log pomelo.Logger) *inlet.Server {
	limits := func() pomelo.TrafficLimits {
		p, ok := v.Policy()
		if !ok {
			return pomelo.TrafficLimits{}
		}
		return p.Limits()
	}
	return inlet.New(c, log, m, i.Handle, limits)
}

func newSeed() uint64 {
	return maphash.Bytes(maphash.MakeSeed(), nil)
}
