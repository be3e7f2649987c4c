package view_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/membuf"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/outage"
	"github.com/pomeloworks/pomelo/platform"
	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/pomeloworks/pomelo/tree"
	"github.com/pomeloworks/pomelo/view"
)

// site is a node of a network, reduced to its view of the store.
type site struct {
	pomelo.Store
	member pomelo.Member
	view   *view.View
	outage *outage.Outage
	log    *membuf.Buffer
	lease  pomelo.LeaseID
	cancel context.CancelFunc
	// isFrozen blocks all messages from and to the node, isStuck its watches of the store.
	isFrozen atomic.Bool
	isStuck  atomic.Bool
	mu       sync.Mutex
	// seen holds for each change of the members whether a guest was among them.
	seen []bool
}

// Watch implements pomelo.Store.
func (s *site) Watch(ctx context.Context, prefix string, since pomelo.Revision, wait pomelo.Millis) (pomelo.Listing, error) {
	l, err := s.Store.Watch(ctx, prefix, since, wait)
	if s.isStuck.Load() {
		<-ctx.Done()
		return pomelo.Listing{}, ctx.Err()
	}
	return l, err
}

// network is a store and the views of some nodes, which send messages to each other directly.
type network struct {
	t     testing.TB
	store *fake.Server
	sites []*site
}

// connection sends the messages of one node.
type connection struct {
	*network
	from *site
}

// Request implements pomelo.Peers.
func (c connection) Request(ctx context.Context, m pomelo.Member, kind pomelo.MessageKind, request, reply any) error {
	lost := pomelo.NewFault(pomelo.KindPeerLost, "no answer", "ask another node")
	to := c.site(m.VM)
	if to == nil {
		return lost
	}
	if to.isFrozen.Load() || c.from.isFrozen.Load() {
		<-ctx.Done()
		return lost
	}
	var out any
	var err error
	switch kind {
	case pomelo.MessageGossip:
		out, err = to.view.Answer(ctx, c.from.member, nil)
	case pomelo.MessagePolicy:
		out, err = to.view.AnswerPolicy(ctx, c.from.member, nil)
	case pomelo.MessageChanges:
		decode := func(into any) error { return transfer(request, into) }
		out, err = to.view.AnswerChanges(ctx, c.from.member, decode)
	}
	switch {
	case err != nil:
		return err
	case ctx.Err() != nil || to.isFrozen.Load():
		<-ctx.Done()
		return lost
	}
	return transfer(out, reply)
}

func transfer(from, into any) error {
	b, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, into)
}

func (n *network) site(vm string) *site {
	i := slices.IndexFunc(n.sites, func(s *site) bool { return s.member.VM == vm })
	if i < 0 {
		return nil
	}
	return n.sites[i]
}

// newNetwork starts the nodes at the same time and waits until each knows all of them.
func newNetwork(t testing.TB, nodes int) *network {
	n := &network{t: t, store: fake.New()}
	ctx, cancel := context.WithCancel(context.Background())
	go n.store.Run(ctx)
	n.store.Put("policy", []byte{1})
	for i := range nodes {
		n.addSite(i)
	}
	// Before the servers close, which wait for the watches.
	t.Cleanup(cancel)
	var started sync.WaitGroup
	for _, s := range n.sites {
		started.Go(func() { n.start(ctx, s) })
	}
	started.Wait()
	n.await("all members are known", 5_000, func(s *site) bool { return len(s.view.Current()) == nodes })
	return n
}

func (n *network) addSite(i int) {
	server := httptest.NewServer(n.store.Handler(strconv.Itoa(i)))
	n.t.Cleanup(server.Close)
	s := &site{Store: platform.NewStore(server.URL, metric.New()), member: pomelo.Member{VM: fmt.Sprint("vm-", i), Address: "127.0.0.1:1"}, log: &membuf.Buffer{}}
	s.outage = outage.New(outage.WithFleet())
	self := func() pomelo.Member { return s.member }
	s.view = view.New(s, clock.New(clock.WithMonotonic()), logs.New(s.log), "policy", parse, self,
		view.WithPeers(connection{n, s}, metric.New()), view.WithOutage(s.outage), view.WithRelayedWatch(), view.WithMaxPolicyAge(5_000))
	s.outage.OnChange(s.view.StoreChanged)
	s.view.OnChange(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen = append(s.seen, slices.ContainsFunc(s.view.Current(), isGuest))
	}, func() {})
	n.sites = append(n.sites, s)
}

func (n *network) start(ctx context.Context, s *site) {
	ctx, s.cancel = context.WithCancel(ctx)
	go s.view.Run(ctx)
	s.lease = n.write(s, s.member)
	go s.renew(ctx)
}

// renew renews the lease while the store is away, as package beacon does, when the node may call the store.
func (s *site) renew(ctx context.Context) {
	c := clock.New(clock.WithMonotonic())
	for c.Sleep(ctx, 50) == nil {
		if s.outage.IsAway() && s.outage.Allow(c.Monotonic()) {
			s.outage.Record(s.Renew(ctx, s.lease), c.Monotonic(), rand.Float64())
		}
	}
}

// write stores the record of a member under a new lease.
func (n *network) write(s *site, m pomelo.Member) pomelo.LeaseID {
	lease, err := s.Grant(context.Background(), 60_000)
	if err != nil {
		n.t.Error(err)
	}
	value, _ := json.Marshal(m)
	if _, err := s.Put(context.Background(), pomelo.Write{Key: pomelo.PrefixMember + m.VM, Value: value, Lease: lease}); err != nil {
		n.t.Error(err)
	}
	return lease
}

func isGuest(m pomelo.Member) bool { return m.VM == "guest" }

// visit lets a member come and go at once.
func (n *network) visit(s *site) {
	_ = s.Revoke(context.Background(), n.write(s, pomelo.Member{VM: "guest", Address: "127.0.0.1:1"}))
}

// hasSeenVisit reports whether the node has seen a member come and go.
func (s *site) hasSeenVisit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	came := slices.Index(s.seen, true)
	return came >= 0 && slices.Contains(s.seen[came:], false)
}

// await waits up to limit milliseconds until the condition holds at all sites that are not frozen, and returns the time that it took.
func (n *network) await(what string, limit pomelo.Millis, holds func(*site) bool) {
	start := time.Now()
	var missing string
	for time.Since(start) < limit.Duration() {
		missing = ""
		for _, s := range n.sites {
			if !s.isFrozen.Load() && !holds(s) {
				missing += " " + s.member.VM
			}
		}
		if missing == "" {
			n.t.Logf("%s: %d ms", what, time.Since(start).Milliseconds())
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	n.t.Errorf("%s: not within %d ms at%s", what, limit, missing)
}

// readers returns the sites that watch the store, and the others.
func (n *network) readers() (readers, others []*site) {
	all := n.sites[0].view.Current()
	for _, s := range n.sites {
		if tree.New(all, s.member.VM).IsReader() {
			readers = append(readers, s)
			continue
		}
		others = append(others, s)
	}
	return readers, others
}
