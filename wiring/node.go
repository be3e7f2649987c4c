package wiring

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/life"
	"github.com/pomeloworks/pomelo/logs"
	"go.uber.org/fx"
)

// Node is the one process beside an upstream.
type Node struct {
	settings pomelo.Settings
	output   io.Writer
	clock    pomelo.MonotonicClock
	store    pomelo.Store
	app      *fx.App
	parts    parts
	life     *life.Controller
	cancel   context.CancelFunc
	done     chan struct{}
}

// New puts a node together; nothing listens before Start.
func New(settings pomelo.Settings, opts ...func(*Node)) (*Node, error) {
	n := &Node{settings: settings, output: os.Stderr, done: make(chan struct{})}
	for _, o := range opts {
		o(n)
	}
	n.app = fx.New(
		fx.NopLogger,
		fx.Supply(n),
		providers(),
		fx.Populate(&n.parts),
	)
	return n, plain(n.app.Err())
}

// WithOutput sets where the log goes; the default is standard error.
func WithOutput(w io.Writer) func(*Node) {
	return func(n *Node) { n.output = w }
}

// WithStore uses this store in place of the one at the settings' URL.
func WithStore(s pomelo.Store) func(*Node) {
	return func(n *Node) { n.store = s }
}

// Start opens the listeners and announces the node; it does not wait for the store.
func (n *Node) Start(ctx context.Context) error {
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		return err
	}
	ctx, n.cancel = context.WithCancel(context.Background())
	n.describe()
	n.follow(ctx)
	n.live(ctx)
	n.parts.Log.Info("node_started", "caller", n.CallerAddress(), "peer", n.parts.Listen.Address(), "upstream", n.UpstreamAddress(), "admin", n.AdminAddress())
	return nil
}

// Ended is closed when a planned stop has come and nothing runs any more; Stop then only closes.
func (n *Node) Ended() <-chan struct{} {
	return n.life.Done()
}

// Stop drains the node: it tells everyone, takes no new work after the grace time, and returns when no call runs any more or the context ends.
func (n *Node) Stop(ctx context.Context) error {
	n.life.Terminate()
	var err error
	select {
	case <-n.life.Done():
	case <-ctx.Done():
		err = errors.Wrapf(ctx.Err(), "%d calls still run", n.parts.Serve.Running())
	}
	err = errors.CombineErrors(err, n.parts.Entry.Stop(ctx))
	err = errors.CombineErrors(err, n.close(ctx))
	n.parts.Log.Info("node_stopped")
	return err
}

// CallerAddress is the address of the listener for callers.
func (n *Node) CallerAddress() string {
	return n.parts.Entry.Address()
}

// UpstreamAddress is the address of the loopback listener for the upstream.
func (n *Node) UpstreamAddress() string {
	return n.parts.Local.Address()
}

// AdminAddress is the address of the administration listener.
func (n *Node) AdminAddress() string {
	return n.parts.Admin.Address()
}

// Members tells which nodes this one knows.
func (n *Node) Members() pomelo.Membership {
	return n.parts.Members
}

// Standing tells which rights this node holds.
func (n *Node) Standing() pomelo.Ownership {
	return n.parts.Standing
}

// Configuration is the operators' configuration as this node knows it.
func (n *Node) Configuration() pomelo.Configuration {
	return n.parts.Config
}

func (n *Node) listen() error {
	s := n.settings
	if err := n.parts.Listen.Start(s.Node.PeerAddress); err != nil {
		return err
	}
	if err := n.parts.Local.Start(s.Upstream.Address); err != nil {
		return err
	}
	if err := n.parts.Admin.Start(s.Admin.Address); err != nil {
		return err
	}
	return n.parts.Entry.Start(s.Caller.Address)
}

func (n *Node) describe() {
	n.parts.Members.UpdateSelf(func(m *pomelo.Member) {
		m.VM = n.settings.Node.VM
		m.AvailabilityZone = n.settings.Node.AvailabilityZone
		m.Incarnation = n.parts.Identity.Fingerprint()[:incarnationDigits]
		m.Address = n.parts.Listen.Address()
		m.Fingerprint = n.parts.Identity.Fingerprint()
	})
}

func (n *Node) follow(ctx context.Context) {
	go n.parts.Follow.Run(ctx)
	go n.parts.Gossip.Run(ctx)
	go n.parts.Members.Run(ctx)
	go n.parts.Standing.Run(ctx)
	go n.parts.Rates.Run(ctx)
	go n.parts.Strain.Run(ctx)
	go n.parts.Certs.Run(ctx)
	go n.parts.Fence.Run(ctx)
	go func() {
		defer close(n.done)
		n.parts.Members.Announce(ctx)
	}()
}

func (n *Node) close(ctx context.Context) error {
	n.cancel()
	<-n.done
	err := n.parts.Local.Stop(ctx)
	err = errors.CombineErrors(err, n.parts.Admin.Stop(ctx))
	n.parts.Dialer.Close()
	n.parts.Listen.Close()
	return errors.CombineErrors(err, n.app.Stop(ctx))
}

func newLogger(n *Node) pomelo.Logger {
	return logs.New(n.output, logs.WithLevel(n.settings.Log.Level), logs.WithFields("vm", n.settings.Node.VM))
}
