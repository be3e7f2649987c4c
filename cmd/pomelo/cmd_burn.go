package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/figure"
)

const percent = 100

func cmdBurn() command {
	return command{
		Name:      "burn",
		Summary:   "reports how fast the services spend their error budgets",
		Arguments: "[-node ADDR] [-token_file FILE] [-json] [-plot FILE.png]",
		Action:    runBurn,
	}
}

func runBurn(ctx context.Context, c invocation) error {
	node, tokenFile := adminFlags(c)
	asJSON := c.Flags.Bool("json", false, "print the report as JSON")
	plotFile := c.Flags.String("plot", "", "draw the burn rates into this PNG `file`")
	if err := c.parse(); err != nil {
		return err
	}
	cl, err := newClient(*node, *tokenFile)
	if err != nil {
		return err
	}
	report, err := cl.Burn(ctx)
	if err != nil {
		return err
	}
	if *plotFile != "" {
		if err := plotBurn(*plotFile, report); err != nil {
			return err
		}
	}
	if *asJSON {
		return printJSON(c.Output, report)
	}
	return printBurn(c.Output, report)
}

func plotBurn(path string, report pomelo.BurnReport) error {
	f, err := os.Create(path)
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadCommand, err.Error(), "pass -plot with a file that can be written")
	}
	err = figure.New(report).WritePNG(f)
	return errors.CombineErrors(err, f.Close())
}

func printBurn(w io.Writer, report pomelo.BurnReport) error {
	fmt.Fprintln(w, "at "+time.UnixMilli(int64(report.At)).UTC().Format(time.RFC3339))
	if len(report.Services) == 0 {
		fmt.Fprintln(w, "no objectives; set one, such as: set objective shop whole 99.9 latency_ms 300 share 99")
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(t, "service\tstate\tgoal\tcalls_6h\tburn_5m\tburn_1h\tburn_6h\tbudget_left")
	for _, s := range report.Services {
		printGoal(t, s, fmt.Sprintf("%g%% whole", percentOf(s.Objective.CompleteShare)), s.Complete)
		if s.Objective.Latency > 0 {
			printGoal(t, s, fmt.Sprintf("%g%% in %d ms", percentOf(s.Objective.LatencyShare), s.Objective.Latency), s.Latency)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range report.Services {
		printWorstAccount(w, s)
	}
	if len(report.Unresponsive) > 0 {
		fmt.Fprintln(w, "no answer from: "+strings.Join(report.Unresponsive, ", "))
	}
	return nil
}

func printGoal(w io.Writer, s pomelo.BurnService, name string, g pomelo.BurnGoal) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d", s.Objective.Service, s.State, name, g.Windows[len(g.Windows)-1].Calls)
	for _, b := range g.Windows {
		fmt.Fprintf(w, "\t%.2f", b.Rate)
	}
	if g.BudgetLeft < 0 {
		fmt.Fprintln(w, "\toverspent")
		return
	}
	fmt.Fprintf(w, "\t%.0f%%\n", percent*g.BudgetLeft)
}

func printWorstAccount(w io.Writer, s pomelo.BurnService) {
	a := s.WorstAccount
	if a == nil {
		return
	}
	var reasons []string
	for _, r := range a.Reasons {
		reasons = append(reasons, fmt.Sprintf("%s %d", r.Outcome, r.Count))
	}
	name := a.Account
	if name == "" {
		name = "(none)"
	}
	fmt.Fprintf(w, "%s: worst client account %s, %d of %d calls in %s: %s\n", s.Objective.Service, name, a.Bad, a.Calls, a.Window.Duration(), strings.Join(reasons, ", "))
}

// percentOf returns a share in percent, rounded to hide the inexactness of binary fractions.
func percentOf(share float64) float64 {
	const digits = 1e6
	return float64(int64(share*percent*digits+0.5)) / digits
}
