package mesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"go.uber.org/fx"
)

// Times in milliseconds.
const (
	headTimeout = pomelo.Millis(3_000)
	// settleFor is how long a stopping node still takes requests: the platform asks for readiness once a second and takes a node out after two misses.
	settleFor = pomelo.Millis(2_200)
	// abortMargin before the end of the grace time, what still waits is given up; it lies within the grace time's last sixth.
	abortMargin = pomelo.Millis(950)
	// exitMargin is kept of the grace time for the end of the process.
	exitMargin = pomelo.Millis(500)
	stopPoll   = pomelo.Millis(20)
	// settlePoll is the pause between two looks at whether the rights are settled.
	settlePoll = pomelo.Millis(500)
	// loadEvery is the pause between two lines on waiting calls.
	loadEvery = pomelo.Millis(1_000)
)

// Node is the one process beside an upstream on the users' platform.
type Node struct {
	settings pomelo.HostSettings
	host     Host
	output   io.Writer
	metrics  string
	app      *fx.App
	parts    parts
	stopping atomic.Bool
	servers  []*http.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

// New puts a node together; nothing listens before Start.
func New(settings pomelo.HostSettings, host Host, opts ...func(*Node)) (*Node, error) {
	n := &Node{settings: settings, host: host, output: os.Stdout, done: make(chan struct{})}
	for _, o := range opts {
		o(n)
	}
	n.app = fx.New(fx.NopLogger, fx.Supply(n), providers(), fx.Populate(&n.parts))
	return n, errors.Wrap(n.app.Err(), "put the node together")
}

// WithOutput sets where the log goes; the default is standard output.
func WithOutput(w io.Writer) func(*Node) {
	return func(n *Node) { n.output = w }
}

// WithMetricsPort serves the metrics at this port of the node's address.
func WithMetricsPort(port string) func(*Node) {
	return func(n *Node) { n.metrics = port }
}

// Start opens the listeners and announces the node; it does not wait for the store.
func (n *Node) Start() error {
	if err := n.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.parts.View.OnChange(func() {}, sync.OnceFunc(n.resume))
	go n.parts.Spool.Run(ctx)
	go n.watchLoad(ctx)
	go n.settle(ctx)
	go n.parts.View.Run(ctx)
	go n.parts.Rates.Run(ctx)
	go n.parts.Fence.Run(ctx)
	go func() {
		defer close(n.done)
		// The record of the process before is read first, and replaced then.
		select {
		case <-n.parts.View.Listed():
			n.parts.Beacon.Run(ctx)
		case <-ctx.Done():
		}
	}()
	s := n.settings
	n.parts.Log.Info("node_started", "version", pomelo.Version(), "service", s.Service, "zone", s.AvailabilityZone, "callers", s.CallerAddress, "peers", s.PeerAddress, "first_start", s.FirstStart)
	return nil
}

// resume takes the upstream over from the record of the process before this one.
func (n *Node) resume() {
	self := n.parts.Beacon.Member()
	for _, m := range n.parts.View.Current() {
		if m.VM != self.VM || m.Incarnation == self.Incarnation || m.UpstreamID == "" {
			continue
		}
		if m.SoleOwner {
			n.parts.Beacon.UpdateMember(func(x *pomelo.Member) { x.SoleOwner = !x.Draining })
		}
		n.parts.Worker.Resume(pomelo.Instance{
			ID:        m.UpstreamID,
			Service:   m.Service,
			Address:   m.UpstreamAddress,
			Zone:      m.AvailabilityZone,
			Slots:     m.Slots,
			StartedAt: m.UpstreamStartedAt,
		})
	}
}

func (n *Node) listen() error {
	s := n.settings
	if err := n.parts.Listen.Start(s.PeerAddress); err != nil {
		return err
	}
	if err := n.serve(s.ControlAddress, n.host.Control(n.parts.Worker, n.parts.Log)); err != nil {
		return err
	}
	if err := n.serve(s.ReadyAddress, n.host.Ready(n.Ready)); err != nil {
		return err
	}
	if n.metrics != "" {
		if err := n.serve(net.JoinHostPort(s.IP, n.metrics), n.metricsHandler()); err != nil {
			return err
		}
	}
	return n.parts.Inlet.Start(s.CallerAddress)
}

func (n *Node) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadSettings, "can't listen: "+err.Error(), "check the addresses in the settings file")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout.Duration()}
	n.servers = append(n.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.parts.Log.Warn("listener_failed", "address", address, "error", err.Error())
		}
	}()
	return nil
}

// Ready reports whether the node knows a policy and is not about to stop.
func (n *Node) Ready() bool {
	_, ok := n.parts.View.Policy()
	return ok && !n.stopping.Load()
}

// Members tells which nodes this one knows.
func (n *Node) Members() pomelo.Membership {
	return n.parts.View
}

// Reload takes in settings that have been read anew; unusable ones are passed over, and a running process keeps its addresses.
func (n *Node) Reload(s pomelo.HostSettings, err error) {
	if err != nil {
		n.parts.Log.Warn("settings_unusable", "error", err.Error())
		return
	}
	n.parts.Log.Info("settings_reloaded", "changed", s != n.settings)
}

// Stop tells everyone, lets the work under way end, and returns before the grace time is over.
func (n *Node) Stop() {
	began := n.parts.Clock.Monotonic()
	n.stopping.Store(true)
	n.parts.Log.Info("node_stopping", "running", n.parts.Worker.Running(), "pending", n.parts.Inlet.Pending())
	n.parts.Inlet.Drain()
	n.parts.Beacon.UpdateMember(func(m *pomelo.Member) { m.SetDraining(true) })
	closed := false
	for n.parts.Clock.Monotonic()-began < n.settings.DrainGrace-exitMargin {
		_ = n.parts.Clock.Sleep(context.Background(), stopPoll)
		if n.parts.Clock.Monotonic()-began < settleFor {
			continue
		}
		if !closed {
			n.parts.Inlet.Close()
			n.parts.Worker.Drain()
			closed = true
		}
		if n.parts.Worker.Running()+n.parts.Inlet.Pending() == 0 {
			break
		}
		if n.parts.Clock.Monotonic()-began >= n.settings.DrainGrace-abortMargin {
			n.parts.Inlet.Abort()
		}
	}
	n.close()
	n.parts.Log.Info("node_stopped", "running", n.parts.Worker.Running(), "pending", n.parts.Inlet.Pending(), "took_ms", n.parts.Clock.Monotonic()-began)
	n.parts.Spool.Flush()
}

// Kill ends the node at once, as the end of its process does.
func (n *Node) Kill() {
	n.parts.Inlet.Close()
	n.close()
}

func (n *Node) close() {
	n.cancel()
	<-n.done
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.parts.Dialer.Close()
	n.parts.Listen.Close()
}

// settle notes in the record when the process after this one may go on with its rights.
func (n *Node) settle(ctx context.Context) {
	for n.parts.Clock.Sleep(ctx, settlePoll) == nil {
		if m := n.parts.Beacon.Member(); m.SoleOwner || m.Draining || !n.parts.Tenure.IsSoleOwner() {
			continue
		}
		n.parts.Beacon.UpdateMember(func(m *pomelo.Member) { m.SoleOwner = !m.Draining })
	}
}

// watchLoad writes a line each second in which calls had to wait.
func (n *Node) watchLoad(ctx context.Context) {
	for n.parts.Clock.Sleep(ctx, loadEvery) == nil {
		running, waiting, slots := n.parts.Queue.Load()
		if waiting > 0 {
			n.parts.Log.Info("calls_waiting", "running", running, "waiting", waiting, "slots", slots, "threshold", n.parts.Queue.ShedThreshold(""))
		}
	}
}

func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.parts.Usage.Sample(n.parts.Metrics)
		running, waiting, slots := n.parts.Queue.Load()
		n.parts.Metrics.Gauge("queue.running", float64(running))
		n.parts.Metrics.Gauge("queue.waiting", float64(waiting))
		n.parts.Metrics.Gauge("queue.slots", float64(slots))
		n.parts.Metrics.Gauge("policy.age_ms", float64(n.parts.View.Age()))
		if err := n.parts.Metrics.WriteJSON(w); err != nil {
			n.parts.Log.Warn("metrics_not_written", "error", err.Error())
		}
	})
}
