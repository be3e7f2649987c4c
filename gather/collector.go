package gather

import (
	"context"
	"slices"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/sync/errgroup"
)

const (
	defaultTimeout = pomelo.Millis(2_000)
	// perMember is added to the timeout for each node that is asked, in milliseconds: opening its connection takes time.
	perMember = pomelo.Millis(5)
	// atOnce bounds the questions on their way, and so the reports that are held at one time.
	atOnce = 64
)

// Collector gathers reports.
type Collector struct {
	members pomelo.Membership
	peers   pomelo.Peers
	own     func(pomelo.ReportRequest) pomelo.Report
	timeout pomelo.Millis
}

// New returns a collector; own makes this node's report.
func New(members pomelo.Membership, peers pomelo.Peers, own func(pomelo.ReportRequest) pomelo.Report, opts ...func(*Collector)) *Collector {
	c := &Collector{members: members, peers: peers, own: own, timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithTimeout sets how long, in milliseconds, all nodes together have to answer, beside a little for each.
func WithTimeout(d pomelo.Millis) func(*Collector) {
	return func(c *Collector) { c.timeout = d }
}

// Collect asks all nodes; reports and silent VMs are in order.
func (c *Collector) Collect(ctx context.Context, q pomelo.ReportRequest) pomelo.FleetReport {
	return c.gather(ctx, q, c.members.All())
}

// CollectFrom asks only the nodes on these VMs; one that is no member any more counts as silent, since it may be frozen and come back.
func (c *Collector) CollectFrom(ctx context.Context, q pomelo.ReportRequest, vms []string) pomelo.FleetReport {
	var members []pomelo.Member
	gone := slices.Clone(vms)
	for _, m := range c.members.All() {
		if i := slices.Index(gone, m.VM); i >= 0 {
			members = append(members, m)
			gone = slices.Delete(gone, i, i+1)
		}
	}
	g := c.gather(ctx, q, members)
	g.Unresponsive = append(g.Unresponsive, gone...)
	slices.Sort(g.Unresponsive)
	return g
}

func (c *Collector) gather(ctx context.Context, q pomelo.ReportRequest, members []pomelo.Member) pomelo.FleetReport {
	limit := c.timeout + perMember*pomelo.Millis(len(members))
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	var s sum
	var group errgroup.Group
	group.SetLimit(atOnce)
	for _, m := range members {
		group.Go(func() error {
			r, err := c.ask(ctx, m, q)
			s.add(m.VM, r, err)
			return nil
		})
	}
	_ = group.Wait()
	return s.gathered()
}

// Answer gives this node's report to a peer; it is a pomelo.Responder.
func (c *Collector) Answer(_ context.Context, _ pomelo.Member, decode func(request any) error) (any, error) {
	var q pomelo.ReportRequest
	if err := decode(&q); err != nil {
		return nil, err
	}
	return c.own(q), nil
}

func (c *Collector) ask(ctx context.Context, m pomelo.Member, q pomelo.ReportRequest) (pomelo.Report, error) {
	if m.VM == c.members.Self().VM {
		return c.own(q), nil
	}
	var r pomelo.Report
	err := c.peers.Request(ctx, m, pomelo.MessageReport, q, &r)
	r.VM = m.VM
	return r, err
}
