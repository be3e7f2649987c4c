package runner

import (
	"context"
	"slices"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/show"
)

const (
	pollInterval = pomelo.Millis(100)
	maxWait      = pomelo.Millis(60_000)
	// roundTimeout keeps an unresponsive node from delaying the reports of the others.
	roundTimeout = pomelo.Millis(500)
	minRounds    = 2
)

// Runner executes parsed commands.
type Runner struct {
	clock   pomelo.Clock
	changer *change.Changer
	answers *show.TableBuilder
	members pomelo.Membership
	collect func(context.Context, pomelo.ReportRequest, []string) pomelo.FleetReport
}

// New returns a runner; collect queries the nodes on the given VMs and lists the unresponsive ones.
func New(clock pomelo.Clock, changer *change.Changer, answers *show.TableBuilder, members pomelo.Membership, collect func(context.Context, pomelo.ReportRequest, []string) pomelo.FleetReport) *Runner {
	return &Runner{clock: clock, changer: changer, answers: answers, members: members, collect: collect}
}

// Run executes the command c of the request; for a change it waits up to the requested time and lists the nodes that have not applied it by then.
func (r *Runner) Run(ctx context.Context, q pomelo.CommandRequest, c pomelo.Command) (pomelo.CommandResult, error) {
	if c.Show != nil {
		return r.answers.Build(ctx, *c.Show)
	}
	out, err := r.changer.Execute(ctx, pomelo.Change{ID: q.ID, Expected: q.Expected, Repeat: q.Repeat, Command: c})
	if err != nil {
		return out, err
	}
	if c.StopVM != nil && !r.isKnown(c.StopVM.VM) {
		out.Note = "no node on a VM of that name is known now; the stop stays planned"
	}
	if q.Wait > 0 {
		out.NotApplied = r.waitApplied(ctx, out.Revision, min(q.Wait, maxWait))
	}
	return out, nil
}

// waitApplied returns the nodes that are behind the revision or unresponsive at the deadline; an empty list means that all nodes have applied it.
func (r *Runner) waitApplied(ctx context.Context, revision pomelo.Revision, limit pomelo.Millis) []string {
	deadline := r.clock.Now() + limit
	var behind []string
	for _, m := range r.members.All() {
		behind = append(behind, m.VM)
	}
	epoch := int64(0)
	for round := 1; ; round++ {
		behind = r.nodesBehind(ctx, revision, &epoch, behind)
		if len(behind) == 0 || round >= minRounds && r.clock.Now() >= deadline {
			return behind
		}
		if err := r.clock.Sleep(ctx, pollInterval); err != nil {
			return behind
		}
	}
}

// nodesBehind queries only the nodes in vms, which have not yet reported the change; epoch is the highest epoch reported so far.
func (r *Runner) nodesBehind(ctx context.Context, revision pomelo.Revision, epoch *int64, vms []string) []string {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout.Duration())
	defer cancel()
	g := r.collect(ctx, pomelo.ReportRequest{}, vms)
	for _, e := range g.Reports {
		*epoch = max(*epoch, e.Position.Epoch)
	}
	want := pomelo.Position{Epoch: *epoch, Revision: revision}
	out := g.Unresponsive
	for _, e := range g.Reports {
		if e.Position.Before(want) {
			out = append(out, e.VM)
		}
	}
	slices.Sort(out)
	return out
}

func (r *Runner) isKnown(vm string) bool {
	return slices.ContainsFunc(r.members.All(), func(m pomelo.Member) bool { return m.VM == vm })
}
