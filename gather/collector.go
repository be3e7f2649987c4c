package gather

import (
	"context"
	"slices"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/sync/errgroup"
)

const (
	defaultTimeout = pomelo.Millis(2_000)
	// timeoutPerMember is added to the timeout for each requested node, in milliseconds: opening its connection takes time.
	timeoutPerMember = pomelo.Millis(5)
	// maxConcurrentRequests limits the requests in flight, and so the reports in memory at one time.
	maxConcurrentRequests = 64
)

// Collector collects the reports of the fleet's nodes.
type Collector struct {
	members   pomelo.Membership
	peers     pomelo.Peers
	ownReport func(pomelo.ReportRequest) pomelo.Report
	timeout   pomelo.Millis
}

// New returns a collector; ownReport returns this node's report.
func New(members pomelo.Membership, peers pomelo.Peers, ownReport func(pomelo.ReportRequest) pomelo.Report, opts ...func(*Collector)) *Collector {
	c := &Collector{members: members, peers: peers, ownReport: ownReport, timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithTimeout sets the timeout for all nodes together, in milliseconds; timeoutPerMember is added for each node.
func WithTimeout(d pomelo.Millis) func(*Collector) {
	return func(c *Collector) { c.timeout = d }
}

// Collect requests the reports of all nodes; reports and unresponsive VMs are ordered by VM.
func (c *Collector) Collect(ctx context.Context, request pomelo.ReportRequest) pomelo.FleetReport {
	return c.collect(ctx, request, c.members.All())
}

// CollectFrom requests only the reports of the nodes on these VMs; a VM without a member counts as unresponsive, since it may be suspended and resume.
func (c *Collector) CollectFrom(ctx context.Context, request pomelo.ReportRequest, vms []string) pomelo.FleetReport {
	var members []pomelo.Member
	missing := slices.Clone(vms)
	for _, m := range c.members.All() {
		if i := slices.Index(missing, m.VM); i >= 0 {
			members = append(members, m)
			missing = slices.Delete(missing, i, i+1)
		}
	}
	report := c.collect(ctx, request, members)
	report.Unresponsive = append(report.Unresponsive, missing...)
	slices.Sort(report.Unresponsive)
	return report
}

func (c *Collector) collect(ctx context.Context, request pomelo.ReportRequest, members []pomelo.Member) pomelo.FleetReport {
	timeout := c.timeout + timeoutPerMember*pomelo.Millis(len(members))
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var s reportSum
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for _, m := range members {
		group.Go(func() error {
			r, err := c.requestReport(ctx, m, request)
			s.add(m.VM, r, err)
			return nil
		})
	}
	_ = group.Wait()
	return s.fleetReport()
}

// Answer implements pomelo.Responder: it returns this node's report.
func (c *Collector) Answer(_ context.Context, _ pomelo.Member, decode func(request any) error) (any, error) {
	var request pomelo.ReportRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return c.ownReport(request), nil
}

func (c *Collector) requestReport(ctx context.Context, m pomelo.Member, request pomelo.ReportRequest) (pomelo.Report, error) {
	if m.VM == c.members.Self().VM {
		return c.ownReport(request), nil
	}
	var r pomelo.Report
	err := c.peers.Request(ctx, m, pomelo.MessageReport, request, &r)
	r.VM = m.VM
	return r, err
}
