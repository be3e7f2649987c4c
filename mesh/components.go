package mesh

import (
	"context"
	"hash/maphash"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/beacon"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/detect"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/fence"
	"github.com/pomeloworks/pomelo/filter"
	"github.com/pomeloworks/pomelo/guard"
	"github.com/pomeloworks/pomelo/ident"
	"github.com/pomeloworks/pomelo/inlet"
	"github.com/pomeloworks/pomelo/intake"
	"github.com/pomeloworks/pomelo/listen"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/outage"
	"github.com/pomeloworks/pomelo/owner"
	"github.com/pomeloworks/pomelo/place"
	"github.com/pomeloworks/pomelo/queue"
	"github.com/pomeloworks/pomelo/rates"
	"github.com/pomeloworks/pomelo/record"
	"github.com/pomeloworks/pomelo/retry"
	"github.com/pomeloworks/pomelo/send"
	"github.com/pomeloworks/pomelo/shed"
	"github.com/pomeloworks/pomelo/sizes"
	"github.com/pomeloworks/pomelo/spool"
	"github.com/pomeloworks/pomelo/subset"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/pomeloworks/pomelo/usage"
	"github.com/pomeloworks/pomelo/view"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/pomeloworks/pomelo/worker"
	"go.uber.org/fx"
)

const (
	// retryShare is the share of the platform's retry ratio that is spent, because sub-calls of retried calls count as well.
	retryShare = 0.8
	// retryFloor is the number of retries in ten seconds that a node may send to a service that it rarely calls.
	retryFloor = 2
	// retryPerSecondShare is the share of the retries allowed in ten seconds that may be spent in one second: twice the mean.
	retryPerSecondShare = 0.2
	// maxPlacements is the number of members that may refuse a call before it has reached an upstream.
	maxPlacements = 4
	// maxAttempts bounds the attempts of a call that upstreams reject: if they reject half of all calls, one call in 64 still fails.
	maxAttempts = 6
	// dialTimeout allows some ten round trips to a peer in the same region, in milliseconds.
	dialTimeout = pomelo.Millis(250)
	// headBytes is the maximum size of the head of a message between nodes.
	headBytes = 256 << 10
	// resumeIntervals is the number of heartbeat intervals after the start of the process for which an upstream that has sent no heartbeat is used: its first one may be late by half an interval.
	resumeIntervals = 1.5
	// longAnswerBytes is the size from which the answers of a route are expected to need memory.
	longAnswerBytes = 64 << 10
)

// bootClock goes on while the machine is suspended. It measures the age of keys, leases, ownership and grants.
type bootClock struct{ *clock.Clock }

// components are the parts of a node that its lifecycle uses.
type components struct {
	fx.In
	Clock        *clock.Clock
	Spool        *spool.Spool
	Log          pomelo.Logger
	Metrics      *metric.Sink
	Identity     *ident.Identity
	Beacon       *beacon.Announcer
	View         *view.View
	OwnerTracker *owner.Tracker
	Rates        *rates.Limiter
	Worker       *worker.Worker
	Fence        *fence.Table
	Dialer       *dialer.Pool
	Listen       *listen.Server
	Inlet        *inlet.Server
	Intake       *intake.Intake
	Queue        *queue.Queue
	Subsets      *subset.Chooser
	Usage        *usage.Meter
	Budget       *budget.Budget
}

func providers() fx.Option {
	return fx.Provide(
		func() *clock.Clock { return clock.New(clock.WithMonotonic()) },
		func() bootClock { return bootClock{clock.New(clock.WithBoot())} },
		func(n *Node) *metric.Sink { return n.metrics },
		ident.New,
		func(n *Node) *budget.Budget {
			return budget.New(n.limits().ClientMemory(), budget.WithBodyLimit(n.limits().BodyBytes()))
		},
		func(b *budget.Budget) *wire.Codec { return wire.New(wire.WithLimits(headBytes, int(b.BodyLimit()))) },
		func(n *Node, c *clock.Clock) *spool.Spool { return spool.New(n.output, c) },
		newLogger,
		newOutage,
		newBeacon,
		newView,
		newOwnerTracker,
		newDialer,
		newRateLimiter,
		newQueue,
		newFilter,
		newCrashes,
		newWorker,
		newFence,
		newListen,
		func() *subset.Chooser { return subset.New() },
		newSender,
		func() *sizes.Sizes { return sizes.New(longAnswerBytes) },
		newIntake,
		newInlet,
		func(c *clock.Clock, d *dialer.Pool, l *listen.Server) *usage.Meter { return usage.New(c, d, l) },
	)
}

func newLogger(n *Node, c *clock.Clock, s *spool.Spool) pomelo.Logger {
	return logs.New(s, logs.WithFields("vm", n.settings.VM), logs.WithClock(c))
}

func newOutage(n *Node) *outage.Outage {
	if !n.settings.Features.RelayedWatch {
		return outage.New()
	}
	return outage.New(outage.WithFleet())
}

func newBeacon(n *Node, c bootClock, i *ident.Identity, o *outage.Outage, log pomelo.Logger) *beacon.Announcer {
	m := pomelo.Member{
		VM:               n.settings.VM,
		AvailabilityZone: n.settings.AvailabilityZone,
		Region:           n.settings.Region,
		Incarnation:      uuid.NewString(),
		Address:          n.settings.PeerAddress,
		Fingerprint:      i.Fingerprint(),
	}
	b := beacon.New(n.host.Store, c, log, m, beacon.WithOutage(o))
	if n.settings.Features.RelayedWatch {
		o.OnChange(b.StoreChanged)
	}
	return b
}

func newView(n *Node, c bootClock, b *beacon.Announcer, d *dialer.Pool, m *metric.Sink, o *outage.Outage, log pomelo.Logger) *view.View {
	opts := []func(*view.View){view.WithPeers(d, m), view.WithMaxPolicyAge(n.settings.KeyMaxAge), view.WithOutage(o)}
	if n.appliesEvacuations() {
		opts = append(opts, view.WithEvacuations(n.host.EvacuationPrefix))
	}
	if n.settings.Features.RelayedWatch {
		opts = append(opts, view.WithRelayedWatch())
	}
	v := view.New(n.host.Store, c, log, n.host.PolicyKey, n.host.ParsePolicy, b.Member, opts...)
	v.OnStoreReturn(b.StoreReturned)
	v.OnOverwritten(b.RecordOverwritten)
	v.OnKeysRequired(func() {
		b.UpdateMember(func(m *pomelo.Member) { m.KeysRequired = true })
	})
	if n.settings.Features.RelayedWatch {
		o.OnChange(v.StoreChanged)
	}
	return v
}

func newOwnerTracker(n *Node, v *view.View, b *beacon.Announcer, c bootClock, log pomelo.Logger) *owner.Tracker {
	var t *owner.Tracker
	requestPosition := func(m pomelo.Member) {
		go func() {
			position, err := v.RequestMembersPosition(context.Background(), m)
			if err != nil {
				log.Debug("list_not_confirmed", "member", m.VM, "error", err.Error())
				return
			}
			t.ConfirmPosition(m, position)
		}()
	}
	t = owner.New(v, c, b.LeaseExpiresAt, owner.WithPositionRequest(requestPosition), owner.WithFirstStart(n.settings.FirstStart))
	v.OnChange(t.ApplyChange, t.ApplyRelist)
	v.OnDrop(t.ApplyDrop)
	return t
}

func newDialer(i *ident.Identity, w *wire.Codec, c *clock.Clock, m *metric.Sink) *dialer.Pool {
	return dialer.New(i, w, dialer.WithClock(c), dialer.WithMetrics(m), dialer.WithDialTimeout(dialTimeout))
}

func newRateLimiter(v *view.View, t *owner.Tracker, d *dialer.Pool, c bootClock, m *metric.Sink) *rates.Limiter {
	accounts := policyAccounts{source: v}
	l := rates.New(accounts, t, v, d, c, m, newSeed())
	v.OnPolicy(func() { l.ApplyAccounts(accounts.all()) })
	return l
}

func newQueue(c *clock.Clock) *queue.Queue {
	return queue.New(c, newSeed())
}

func newFilter(c *clock.Clock, m *metric.Sink, log pomelo.Logger) *filter.Filter {
	return filter.New(c, log, m)
}

func newCrashes(n *Node, c *clock.Clock, o *outage.Outage, v *view.View, f *filter.Filter, log pomelo.Logger) *record.Crashes {
	r := record.New(n.host.Store, c, log, o, f.Add)
	v.OnRecord(pomelo.PrefixCrash, r.Apply)
	return r
}

func newWorker(n *Node, c *clock.Clock, q *queue.Queue, b *beacon.Announcer, v *view.View, bodies *budget.Budget, f *filter.Filter, crashes *record.Crashes, m *metric.Sink, log pomelo.Logger) *worker.Worker {
	client := uplink.New(n.host.Dialect, c, m, uplink.WithBudget(bodies))
	var w *worker.Worker
	publish := func(x pomelo.Crash) {
		w.RecordCrash(x)
		crashes.Publish(n.ctx, x)
	}
	detector := detect.New(c, log, m, n.settings.VM, client.IsRefused, detect.WithOnCrash(publish))
	describe := func(i pomelo.Instance, serving bool) {
		b.UpdateMember(func(x *pomelo.Member) {
			x.Service = i.Service
			x.Slots = i.Slots
			x.UpstreamID = i.ID
			x.UpstreamLeft = i.Left
			x.UpstreamDraining = !serving && !i.Left
			x.UpstreamSequence = 0
			if x.UpstreamDraining {
				x.UpstreamSequence = i.Sequence
			}
			x.UpstreamAddress = i.Address
			x.UpstreamStartedAt = i.StartedAt
			x.SetDraining(!serving || n.stopping.Load())
		})
	}
	interval := n.settings.HeartbeatInterval
	if interval == 0 {
		interval = defaultHeartbeatInterval
	}
	opts := []func(*worker.Worker){
		worker.WithServices(policyServices{source: v}.Service),
		worker.WithWaiting(q),
		worker.WithRecord(),
		worker.WithWithdrawals(func(l []pomelo.Withdrawal) {
			b.UpdateMember(func(x *pomelo.Member) { x.Withdrawals = pomelo.EncodeWithdrawals(l) })
		}),
		worker.WithResumeTime(pomelo.Millis(resumeIntervals * float64(interval))),
	}
	if n.appliesEvacuations() {
		opts = append(opts, worker.WithEvacuations(v, n.settings.AvailabilityZone, v.Listed(), q))
	}
	w = worker.New(c, q, client, detector, f, m, log, describe, opts...)
	v.OnEvacuation(n.evacuationObserver(w))
	return w
}

func newFence(c *clock.Clock, w *worker.Worker, log pomelo.Logger) *fence.Table {
	return fence.New(c, guard.New(log).Handler(w), fence.WithLog(log))
}

func newListen(n *Node, i *ident.Identity, w *wire.Codec, v *view.View, f *fence.Table, r *rates.Limiter, memory *budget.Budget, log pomelo.Logger) *listen.Server {
	s := listen.New(i, w, v, f, log, listen.WithFencer(f), listen.WithBudget(memory))
	s.RegisterResponder(pomelo.MessageGrant, r.Answer)
	s.RegisterResponder(pomelo.MessageGossip, v.Answer)
	s.RegisterResponder(pomelo.MessagePolicy, v.AnswerPolicy)
	if n.settings.Features.RelayedWatch {
		s.RegisterResponder(pomelo.MessageChanges, v.AnswerChanges)
	}
	return s
}

func newSender(n *Node, c *clock.Clock, v *view.View, d *dialer.Pool, w *worker.Worker, x *subset.Chooser, m *metric.Sink, log pomelo.Logger) *send.Sender {
	p := place.New(c, n.settings.AvailabilityZone, newSeed())
	r := retry.New(c, retry.WithShare(retryShare*n.settings.RetryRatio, retryFloor), retry.WithPerSecondShare(retryPerSecondShare))
	opts := []func(*send.Sender){send.WithRetryBudget(r), send.WithMaxPlacements(maxPlacements), send.WithMaxAttempts(maxAttempts), send.WithLog(log)}
	if n.settings.Features.PeerSubset {
		opts = append(opts, send.WithSubset(x, n.settings.Service))
	}
	if n.appliesEvacuations() {
		opts = append(opts, send.WithEvacuations(v))
	}
	return send.New(c, v, p, d, w, m, opts...)
}

func newIntake(n *Node, c *clock.Clock, v *view.View, r *rates.Limiter, s *send.Sender, w *worker.Worker, f *filter.Filter, x *sizes.Sizes, m *metric.Sink, log pomelo.Logger) *intake.Intake {
	entryShedder := shed.New(c, s, m, shed.WithSeed(newSeed()))
	g := guard.New(log)
	return intake.New(c, n.host.Dialect, v, r, g.Handler(f.Handler(entryShedder)), g.Handler(f.Handler(s)), w, m, log, n.settings.Service, n.settings.KeyMaxAge, intake.WithAnswerSizes(x))
}

func newInlet(n *Node, c *clock.Clock, i *intake.Intake, v *view.View, bodies *budget.Budget, m *metric.Sink, log pomelo.Logger) *inlet.Server {
	limits := func() pomelo.TrafficLimits {
		p, ok := v.Policy()
		if !ok {
			return pomelo.TrafficLimits{}
		}
		return p.Limits()
	}
	return inlet.New(c, log, m, i.Handle, limits, inlet.WithBudget(bodies), inlet.WithMaxConns(n.limits().Callers()), inlet.WithStallTimeout(n.settings.StallTimeout))
}

func newSeed() uint64 {
	return maphash.Bytes(maphash.MakeSeed(), nil)
}
