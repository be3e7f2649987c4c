package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/pomeloworks/pomelo/fakeup"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/pomeloworks/pomelo/wiring"
	"golang.org/x/sync/errgroup"
)

// Times in milliseconds of a fleet on loopback.
const (
	readyPoll         = pomelo.Millis(20)
	readyTimeout      = pomelo.Millis(10_000)
	leaseTTL          = pomelo.Millis(5_000)
	watchWait         = pomelo.Millis(2_000)
	callTimeout       = pomelo.Millis(2_000)
	drainGrace        = pomelo.Millis(200)
	readHeaderTimeout = pomelo.Millis(10_000)
)

const loopback = "127.0.0.1:0"

// Fleet is a stand-in for the store and a number of nodes, each with a stand-in for its upstream.
type Fleet struct {
	plan       pomelo.FleetPlan
	output     io.Writer
	drainGrace pomelo.Millis
	wrapStore  func(vm string, s pomelo.Store) pomelo.Store
	clock      pomelo.Clock
	store      *fakekv.Server
	storeHTTP  *http.Server
	storeURL   string
	nodes      []*wiring.Node
	upstreams  []*fakeup.Server
	secrets    map[string]string
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// New returns a fleet; Start starts it.
func New(plan pomelo.FleetPlan, opts ...func(*Fleet)) *Fleet {
	f := &Fleet{
		plan:       plan,
		output:     io.Discard,
		drainGrace: drainGrace,
		wrapStore:  func(_ string, s pomelo.Store) pomelo.Store { return s },
		clock:      clock.New(),
		store:      fakekv.New(),
		secrets:    map[string]string{},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// WithOutput sets the writer of the nodes' logs; by default they are discarded.
func WithOutput(w io.Writer) func(*Fleet) {
	return func(f *Fleet) { f.output = w }
}

// WithDrainGrace sets how long each node still accepts calls once it is draining, in milliseconds.
func WithDrainGrace(d pomelo.Millis) func(*Fleet) {
	return func(f *Fleet) { f.drainGrace = d }
}

// WithStoreWrapper wraps each VM's client of the store, so that a single node can be partitioned from the store.
func WithStoreWrapper(wrap func(vm string, s pomelo.Store) pomelo.Store) func(*Fleet) {
	return func(f *Fleet) { f.wrapStore = wrap }
}

// Start starts the fleet and returns once every node knows all members and the complete configuration.
func (f *Fleet) Start(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	if err := f.startStore(background); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	for _, s := range f.plan.Services {
		if err := f.startService(ctx, background, s); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// Stop drains all nodes in parallel, and then stops the upstreams and the store.
func (f *Fleet) Stop(ctx context.Context) error {
	var g errgroup.Group
	for _, n := range f.nodes {
		g.Go(func() error { return n.Stop(ctx) })
	}
	err := g.Wait()
	f.cancel()
	f.running.Wait()
	return errors.CombineErrors(err, f.storeHTTP.Close())
}

// Nodes returns the nodes in the order of the plan.
func (f *Fleet) Nodes() []*wiring.Node {
	return f.nodes
}

// Upstreams returns the upstreams' stand-ins, each at the index of its node.
func (f *Fleet) Upstreams() []*fakeup.Server {
	return f.upstreams
}

// Store returns the store's stand-in.
func (f *Fleet) Store() *fakekv.Server {
	return f.store
}

// StoreURL returns the base URL of the store's stand-in.
func (f *Fleet) StoreURL() string {
	return f.storeURL
}

// Targets returns the base URLs of the nodes' listeners for callers.
func (f *Fleet) Targets() []string {
	var out []string
	for _, n := range f.nodes {
		out = append(out, "http://"+n.CallerAddress())
	}
	return out
}

// UpstreamURLs returns the base URLs of the service's upstreams on the vm; an empty vm means all VMs.
func (f *Fleet) UpstreamURLs(service, vm string) []string {
	var out []string
	for i, n := range f.nodes {
		m := n.Members().Self()
		if m.Service == service && (vm == "" || m.VM == vm) {
			out = append(out, "http://"+f.upstreams[i].Addr())
		}
	}
	return out
}

// Secret returns the key that was issued for the account.
func (f *Fleet) Secret(account string) string {
	return f.secrets[account]
}

func (f *Fleet) startStore(ctx context.Context) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	f.storeURL = "http://" + l.Addr().String()
	f.storeHTTP = &http.Server{Handler: f.store, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	f.running.Go(func() { _ = f.storeHTTP.Serve(l) })
	f.running.Go(func() {
		_ = f.store.Run(ctx)
		_ = f.storeHTTP.Close()
	})
	return nil
}

func (f *Fleet) configure(ctx context.Context) error {
	c := change.New(kvhttp.New(f.storeURL))
	for _, a := range f.plan.Accounts {
		set := pomelo.Command{SetAccount: &pomelo.SetAccount{Name: a.Name, Rate: a.Rate, Burst: a.Burst}}
		if _, err := c.Run(ctx, set); err != nil {
			return err
		}
		out, err := c.Run(ctx, pomelo.Command{IssueKey: &pomelo.IssueKey{Account: a.Name}})
		if err != nil {
			return err
		}
		f.secrets[a.Name] = out.Secret
	}
	for _, r := range f.plan.Routes {
		if err := c.PutRoute(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startService(ctx, background context.Context, s pomelo.FleetService) error {
	for i := range s.Count {
		vm := fmt.Sprintf("%s-%d", s.Upstream.Service, i+1)
		zone := s.Zones[i%len(s.Zones)]
		if err := f.startNode(ctx, background, s.Upstream, vm, zone); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startNode(ctx, background context.Context, spec pomelo.FakeUpstream, vm, zone string) error {
	store := f.wrapStore(vm, kvhttp.New(f.storeURL, kvhttp.WithTimeout(callTimeout)))
	n, err := wiring.New(f.settings(vm, zone), wiring.WithOutput(f.output), wiring.WithStore(store))
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	spec.VM = vm
	spec.Address = loopback
	spec.NodeURL = "http://" + n.UpstreamAddress()
	spec.Seed += uint64(len(f.upstreams))
	u := fakeup.New(spec)
	f.upstreams = append(f.upstreams, u)
	f.running.Go(func() { _ = u.Run(background) })
	return nil
}

func (f *Fleet) settings(vm, zone string) pomelo.Settings {
	return pomelo.Settings{
		Node:     pomelo.NodeSettings{VM: vm, AvailabilityZone: zone, PeerAddress: loopback, DrainGrace: f.drainGrace},
		Store:    pomelo.StoreSettings{URL: f.storeURL, LeaseTTL: leaseTTL, WatchWait: watchWait, Timeout: callTimeout},
		Caller:   pomelo.CallerSettings{Address: loopback},
		Upstream: pomelo.UpstreamSettings{Address: loopback},
		Admin:    pomelo.AdminSettings{Address: loopback},
		Limits:   f.plan.Limits,
		Log:      pomelo.LogSettings{Level: "info"},
	}
}

func (f *Fleet) waitReady(ctx context.Context) error {
	end := f.clock.Now() + readyTimeout
	for !f.isReady() {
		if f.clock.Now() > end {
			return errors.New("the fleet is not ready in time: not every node knows all members and routes")
		}
		if err := f.clock.Sleep(ctx, readyPoll); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) isReady() bool {
	for _, n := range f.nodes {
		if !f.knowsMembers(n) || !f.knowsRoutes(n) || !knowsOwners(n) {
			return false
		}
	}
	return true
}

func (f *Fleet) knowsMembers(n *wiring.Node) bool {
	for _, s := range f.plan.Services {
		if len(n.Members().Serving(s.Upstream.Service)) < s.Count {
			return false
		}
	}
	return true
}

// knowsOwners reports whether the node has a roster, from which every resource has an owner.
func knowsOwners(n *wiring.Node) bool {
	_, ok := n.Ownership().Owner("")
	return ok
}

func (f *Fleet) knowsRoutes(n *wiring.Node) bool {
	for _, r := range f.plan.Routes {
		if !n.Configuration().HasRoute(r.Name) {
			return false
		}
	}
	return n.Configuration().KeysFresh()
}
