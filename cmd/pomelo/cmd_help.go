package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/agext/levenshtein"
	"github.com/pomeloworks/pomelo"
)

const columnPadding = 2

func cmdHelp() command {
	return command{
		Name:      "help",
		Summary:   "prints this list, or one command's usage",
		Arguments: "[COMMAND]",
		Action:    runHelp,
	}
}

func runHelp(_ context.Context, c invocation) error {
	if err := c.parse(); err != nil {
		return err
	}
	if c.Flags.NArg() == 0 {
		printHelp(c.Output)
		return nil
	}
	topic, _, ok := findCommand(c.Flags.Args())
	if !ok {
		return unknownCommand(c.Flags.Args())
	}
	page := strings.ReplaceAll(topic.Name, " ", "_")
	fmt.Fprintf(c.Output, "usage: pomelo %s %s\n%s %s\n", topic.Name, topic.Arguments, topic.Name, topic.Summary)
	fmt.Fprintf(c.Output, "flags: pomelo %s -help; page: docs/pomelo_%s.md\n", topic.Name, page)
	return nil
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "usage: pomelo COMMAND [ARGUMENTS]")
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	for _, c := range commands() {
		fmt.Fprintf(t, "  %s %s\t%s\n", c.Name, c.Arguments, c.Summary)
	}
	_ = t.Flush()
}

// unknownCommand returns the fault for a missing or unknown command; for an unknown one it suggests the nearest.
func unknownCommand(args []string) error {
	if len(args) == 0 {
		return pomelo.NewFault(pomelo.KindBadCommand, "no command is given", "choose one of the list: pomelo help")
	}
	best, bestDistance := "", -1
	for _, c := range commands() {
		d := levenshtein.Distance(strings.Join(args[:min(len(args), len(strings.Fields(c.Name)))], " "), c.Name, nil)
		if bestDistance < 0 || d < bestDistance {
			best, bestDistance = c.Name, d
		}
	}
	return pomelo.NewFault(pomelo.KindBadCommand, fmt.Sprintf("%q is not a command", args[0]), fmt.Sprintf("did you mean %q? the list: pomelo help", best))
}
