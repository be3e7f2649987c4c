package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bound"
	"github.com/pomeloworks/pomelo/evict"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/room"
	"go.uber.org/fx"
)

// Times in milliseconds.
const (
	readHeaderTimeout = pomelo.Millis(3_000)
	readTimeout       = pomelo.Millis(6_000)
	writeTimeout      = pomelo.Millis(10_000)
	// idleTimeout exceeds every interval of heartbeats and probes.
	idleTimeout = pomelo.Millis(60_000)
	// ownershipPoll is the interval between checks whether this process is the sole owner of its resources.
	ownershipPoll = pomelo.Millis(500)
	// defaultHeartbeatInterval is the interval of heartbeats where the platform states none.
	defaultHeartbeatInterval = pomelo.Millis(1_500)
	// flushTimeout bounds the last write of the log, whose reader may stand still; it lies within exitMargin.
	flushTimeout = pomelo.Millis(200)
	// loadLogInterval is the interval between log lines about waiting calls.
	loadLogInterval = pomelo.Millis(1_000)
)

// maxControlHeadBytes is the maximum size of the head of a heartbeat or a probe, in bytes.
const maxControlHeadBytes = 4 << 10

// Node is the process that runs next to an upstream on the users' platform.
type Node struct {
	settings    pomelo.HostSettings
	host        Host
	output      io.Writer
	metricsPort string
	metrics     *metric.Sink
	app         *fx.App
	components  components
	stopping    atomic.Bool
	servers     []*http.Server
	// ctx ends when the node closes.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New builds a node from its components; it opens no listener before Start. Too few descriptors are KindBadSettings.
func New(settings pomelo.HostSettings, host Host, opts ...func(*Node)) (*Node, error) {
	if d := settings.MaxDescriptors; d > 0 && d < room.MinDescriptors {
		return nil, pomelo.NewFault(pomelo.KindBadSettings, fmt.Sprintf("the limit of %d descriptors leaves none for some tasks of a node", d), fmt.Sprintf("allow the process at least %d", room.MinDescriptors))
	}
	n := &Node{settings: settings, host: host, output: os.Stdout, metrics: metric.New(), done: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, o := range opts {
		o(n)
	}
	n.app = fx.New(fx.NopLogger, fx.Supply(n), providers(), fx.Populate(&n.components))
	return n, errors.Wrap(n.app.Err(), "build the node")
}

// WithOutput sets the writer of the log; the default is standard output.
func WithOutput(w io.Writer) func(*Node) {
	return func(n *Node) { n.output = w }
}

// WithMetricsPort serves the metrics on this port of the node's IP address.
func WithMetricsPort(port string) func(*Node) {
	return func(n *Node) { n.metricsPort = port }
}

// WithMetrics sets the sink of the node's metrics, which others may use as well.
func WithMetrics(m *metric.Sink) func(*Node) {
	return func(n *Node) { n.metrics = m }
}

// Start opens the listeners and announces the node; it does not wait for the store.
func (n *Node) Start() error {
	if err := n.listen(); err != nil {
		return err
	}
	ctx := n.ctx
	n.components.View.OnChange(func() {}, sync.OnceFunc(n.resume))
	go n.components.Spool.Run(ctx)
	go n.watchLoad(ctx)
	go n.watchSoleOwnership(ctx)
	go n.components.View.Run(ctx)
	go n.components.Rates.Run(ctx)
	go n.components.Fence.Run(ctx)
	go func() {
		defer close(n.done)
		// Read the record of the previous process before replacing it.
		select {
		case <-n.components.View.Listed():
			n.components.Beacon.Run(ctx)
		case <-ctx.Done():
		}
	}()
	s := n.settings
	n.components.Log.Info("node_started", "version", pomelo.Version(), "service", s.Service, "zone", s.AvailabilityZone, "callers", s.CallerAddress, "peers", s.PeerAddress, "first_start", s.FirstStart)
	return nil
}

// resume restores the upstream from the record of this VM's previous process.
func (n *Node) resume() {
	defer n.components.Worker.EndResume()
	self := n.components.Beacon.Member()
	epoch := n.components.View.MembersPosition().Epoch
	for _, m := range n.components.View.Current() {
		if m.VM != self.VM || m.Incarnation == self.Incarnation {
			continue
		}
		// Check has read them.
		withdrawals, _ := pomelo.DecodeWithdrawals(m.Withdrawals)
		n.components.Worker.ResumeWithdrawals(withdrawals)
		if m.UpstreamID == "" {
			continue
		}
		if m.Epoch < epoch && m.HasUsableUpstream() {
			// The store may have lost a later record, which said that the upstream has left.
			n.components.Log.Info("upstream_not_resumed", "upstream", m.UpstreamID, "service", m.Service, "born", m.UpstreamStartedAt, "reason", "the record is of an earlier epoch of the store", "record_epoch", m.Epoch, "epoch", epoch)
			continue
		}
		if m.SoleOwner {
			n.components.Beacon.UpdateMember(func(x *pomelo.Member) {
				x.SoleOwner = !x.Draining
				x.Epoch = m.Epoch
			})
		}
		n.components.Worker.Resume(pomelo.Instance{
			ID:        m.UpstreamID,
			Service:   m.Service,
			Address:   m.UpstreamAddress,
			Zone:      m.AvailabilityZone,
			Slots:     m.Slots,
			StartedAt: m.UpstreamStartedAt,
			Sequence:  m.UpstreamSequence,
			Draining:  m.UpstreamDraining,
			Left:      m.UpstreamLeft,
		})
	}
}

func (n *Node) listen() error {
	s := n.settings
	if err := n.components.Listen.Start(s.PeerAddress); err != nil {
		return err
	}
	if err := n.serve("control", s.ControlAddress, n.host.Control(recorder{n.components.Worker, n.components.Beacon, n.components.Metrics, n.components.Log}, s.Service, n.components.Log)); err != nil {
		return err
	}
	if err := n.serve("ready", s.ReadyAddress, n.host.Ready(n.Ready)); err != nil {
		return err
	}
	if n.metricsPort != "" {
		if err := n.serve("metrics", net.JoinHostPort(s.IP, n.metricsPort), n.metricsHandler()); err != nil {
			return err
		}
	}
	return n.components.Inlet.Start(s.CallerAddress)
}

// limits returns the limits of the process.
func (n *Node) limits() room.Limits {
	return room.Limits{MemoryBytes: n.settings.MemoryBytes, Descriptors: n.settings.MaxDescriptors}
}

// serve serves a listener of this name besides that for callers.
func (n *Node) serve(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen: "+err.Error(), "check the addresses in the settings file")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout.Duration(), ReadTimeout: readTimeout.Duration(), WriteTimeout: writeTimeout.Duration(), IdleTimeout: idleTimeout.Duration(), MaxHeaderBytes: maxControlHeadBytes}
	n.servers = append(n.servers, s)
	c := n.components
	table := evict.New(c.Clock, c.Log, c.Metrics, name, n.limits().Others())
	c.Budget.OnShortage(table.Reclaim)
	bounded := bound.New(l, c.Clock, table, bound.WithBudget(c.Budget))
	go func() {
		if err := bound.Serve(s, bounded); !errors.Is(err, http.ErrServerClosed) {
			n.components.Log.Warn("listener_failed", "address", address, "error", err.Error())
		}
	}()
	return nil
}

// Ready reports whether the node has a policy, knows the evacuations if they apply, and is not stopping.
func (n *Node) Ready() bool {
	_, ok := n.components.View.Policy()
	return ok && n.knowsEvacuations() && !n.stopping.Load()
}

// Members returns the member list as this node knows it.
func (n *Node) Members() pomelo.Membership {
	return n.components.View
}

// Reload logs the result of reading the settings again, invalid ones included. None are applied: a running process keeps its addresses.
func (n *Node) Reload(s pomelo.HostSettings, err error) {
	if err != nil {
		n.components.Log.Warn("settings_unusable", "error", err.Error())
		return
	}
	n.components.Log.Info("settings_reloaded", "changed", s != n.settings)
}

// Kill closes all listeners and connections without draining, as the death of the process does.
func (n *Node) Kill() {
	n.components.Inlet.Close()
	n.close()
}

func (n *Node) close() {
	n.cancel()
	<-n.done
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.components.Dialer.Close()
	n.components.Listen.Close()
}

// watchSoleOwnership marks the record once this process is the sole owner of its resources in the store's epoch, so that the next process on the VM can act on them at once.
func (n *Node) watchSoleOwnership(ctx context.Context) {
	for n.components.Clock.Sleep(ctx, ownershipPoll) == nil {
		epoch := n.components.View.MembersPosition().Epoch
		if m := n.components.Beacon.Member(); m.SoleOwner || m.Draining || !n.components.OwnerTracker.IsSoleOwner() {
			continue
		}
		n.components.Beacon.UpdateMember(func(m *pomelo.Member) { m.SoleOwner = !m.Draining && m.Epoch == epoch })
	}
}

// watchLoad logs a line for each interval at whose end calls are waiting.
func (n *Node) watchLoad(ctx context.Context) {
	for n.components.Clock.Sleep(ctx, loadLogInterval) == nil {
		running, waiting, slots := n.components.Queue.Load()
		if waiting > 0 {
			n.components.Log.Info("calls_waiting", "running", running, "waiting", waiting, "slots", slots, "threshold", n.components.Queue.ShedThreshold(""))
		}
	}
}

func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.components.Usage.Sample(n.components.Metrics)
		running, waiting, slots := n.components.Queue.Load()
		n.components.Metrics.Gauge("queue.running", float64(running))
		n.components.Metrics.Gauge("queue.waiting", float64(waiting))
		n.components.Metrics.Gauge("queue.slots", float64(slots))
		n.components.Metrics.Gauge("send.subset_members", float64(n.components.Subsets.Members()))
		n.components.Metrics.Gauge("worker.warmup_remaining_ms", float64(n.components.Worker.WarmupLeft()))
		n.components.Metrics.Gauge("policy.age_ms", float64(n.components.View.Age()))
		if err := n.components.Metrics.WriteJSON(w); err != nil {
			n.components.Log.Warn("metrics_not_written", "error", err.Error())
		}
	})
}
