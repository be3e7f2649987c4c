package runner

import (
	"context"
	"slices"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/show"
)

const (
	waitPoll = pomelo.Millis(100)
	mostWait = pomelo.Millis(60_000)
	// roundLimit keeps a silent node from hiding how the others get on.
	roundLimit  = pomelo.Millis(500)
	leastRounds = 2
)

// Runner runs parsed commands.
type Runner struct {
	clock   pomelo.Clock
	changer *change.Changer
	answers *show.TableBuilder
	members pomelo.Membership
	collect func(context.Context, pomelo.ReportRequest, []string) pomelo.FleetReport
}

// New returns a runner; collect gathers the reports of the nodes on some VMs and names those that gave none.
func New(clock pomelo.Clock, changer *change.Changer, answers *show.TableBuilder, members pomelo.Membership, collect func(context.Context, pomelo.ReportRequest, []string) pomelo.FleetReport) *Runner {
	return &Runner{clock: clock, changer: changer, answers: answers, members: members, collect: collect}
}

// Run carries out the command c of the request; for a change it waits as asked and lists the nodes where it is not in force by then.
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
		out.NotApplied = r.wait(ctx, out.Revision, min(q.Wait, mostWait))
	}
	return out, nil
}

// wait returns the nodes that are behind the revision, or silent, when the time is over; none means that it is in force everywhere.
func (r *Runner) wait(ctx context.Context, revision pomelo.Revision, limit pomelo.Millis) []string {
	end := r.clock.Now() + limit
	var behind []string
	for _, m := range r.members.All() {
		behind = append(behind, m.VM)
	}
	epoch := int64(0)
	for round := 1; ; round++ {
		behind = r.behind(ctx, revision, &epoch, behind)
		if len(behind) == 0 || round >= leastRounds && r.clock.Now() >= end {
			return behind
		}
		if err := r.clock.Sleep(ctx, waitPoll); err != nil {
			return behind
		}
	}
}

// behind asks only the nodes that have not been seen to have the change; epoch is the highest seen.
func (r *Runner) behind(ctx context.Context, revision pomelo.Revision, epoch *int64, vms []string) []string {
	ctx, cancel := context.WithTimeout(ctx, roundLimit.Duration())
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
