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

// Node is the process that runs next to an upstream on its VM.
type Node struct {
	settings   pomelo.Settings
	output     io.Writer
	clock      pomelo.MonotonicClock
	store      pomelo.Store
	app        *fx.App
	components components
	lifecycle  *life.Controller
	cancel     context.CancelFunc
	done       chan struct{}
}

// New builds a node from its components; it opens no listener before Start.
func New(settings pomelo.Settings, opts ...func(*Node)) (*Node, error) {
	n := &Node{settings: settings, output: os.Stderr, done: make(chan struct{})}
	for _, o := range opts {
		o(n)
	}
	n.app = fx.New(
		fx.NopLogger,
		fx.Supply(n),
		providers(),
		fx.Populate(&n.components),
	)
	return n, unwrapFault(n.app.Err())
}

// WithOutput sets the writer of the log; the default is standard error.
func WithOutput(w io.Writer) func(*Node) {
	return func(n *Node) { n.output = w }
}

// WithStore replaces the store at the settings' URL.
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
	n.describeMember()
	n.startBackground(ctx)
	n.startLifecycle(ctx)
	n.components.Log.Info("node_started", "caller", n.CallerAddress(), "peer", n.components.Listen.Address(), "upstream", n.UpstreamAddress(), "admin", n.AdminAddress())
	return nil
}

// Done returns a channel that is closed once a planned stop has drained the node and no call is running; Stop then only closes the listeners and connections.
func (n *Node) Done() <-chan struct{} {
	return n.lifecycle.Done()
}

// Stop drains the node: it notifies the other members, rejects new calls after the grace period, and returns once no call is running or the context ends.
func (n *Node) Stop(ctx context.Context) error {
	n.lifecycle.Terminate()
	var err error
	select {
	case <-n.lifecycle.Done():
	case <-ctx.Done():
		err = errors.Wrapf(ctx.Err(), "%d calls still run", n.components.Serve.Running())
	}
	err = errors.CombineErrors(err, n.components.Entry.Stop(ctx))
	err = errors.CombineErrors(err, n.close(ctx))
	n.components.Log.Info("node_stopped")
	return err
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string {
	return n.components.Entry.Address()
}

// UpstreamAddress returns the address of the loopback listener for the upstream.
func (n *Node) UpstreamAddress() string {
	return n.components.Local.Address()
}

// AdminAddress returns the address of the administration listener.
func (n *Node) AdminAddress() string {
	return n.components.Admin.Address()
}

// Members returns the member list as this node knows it.
func (n *Node) Members() pomelo.Membership {
	return n.components.Members
}

// Ownership reports which resources this node owns.
func (n *Node) Ownership() pomelo.Ownership {
	return n.components.Coordinator
}

// Configuration returns the operators' configuration as this node knows it.
func (n *Node) Configuration() pomelo.Configuration {
	return n.components.Config
}

func (n *Node) listen() error {
	s := n.settings
	if err := n.components.Listen.Start(s.Node.PeerAddress); err != nil {
		return err
	}
	if err := n.components.Local.Start(s.Upstream.Address); err != nil {
		return err
	}
	if err := n.components.Admin.Start(s.Admin.Address); err != nil {
		return err
	}
	return n.components.Entry.Start(s.Caller.Address)
}

func (n *Node) describeMember() {
	n.components.Members.UpdateSelf(func(m *pomelo.Member) {
		m.VM = n.settings.Node.VM
		m.AvailabilityZone = n.settings.Node.AvailabilityZone
		m.Incarnation = n.components.Identity.Fingerprint()[:incarnationDigits]
		m.Address = n.components.Listen.Address()
		m.Fingerprint = n.components.Identity.Fingerprint()
	})
}

func (n *Node) startBackground(ctx context.Context) {
	go n.components.Follower.Run(ctx)
	go n.components.Gossiper.Run(ctx)
	go n.components.Members.Run(ctx)
	go n.components.Coordinator.Run(ctx)
	go n.components.Rates.Run(ctx)
	go n.components.Health.Run(ctx)
	go n.components.Certs.Run(ctx)
	go n.components.Fence.Run(ctx)
	go func() {
		defer close(n.done)
		n.components.Members.Announce(ctx)
	}()
}

func (n *Node) close(ctx context.Context) error {
	n.cancel()
	<-n.done
	err := n.components.Local.Stop(ctx)
	err = errors.CombineErrors(err, n.components.Admin.Stop(ctx))
	n.components.Dialer.Close()
	n.components.Listen.Close()
	return errors.CombineErrors(err, n.app.Stop(ctx))
}

func newLogger(n *Node) pomelo.Logger {
	return logs.New(n.output, logs.WithLevel(n.settings.Log.Level), logs.WithFields("vm", n.settings.Node.VM))
}
