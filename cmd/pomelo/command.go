package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pomeloworks/pomelo"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
	// exitInDoubt means that it is unknown whether the change took effect.
	exitInDoubt = 3
	// exitNotApplied means that the change was accepted, but some nodes had not applied it when the wait ended.
	exitNotApplied = 4
)

// command is a subcommand of the program.
type command struct {
	Name      string
	Summary   string
	Arguments string
	Action    func(ctx context.Context, c invocation) error
}

// invocation holds the arguments, streams and flags of one run of a command.
type invocation struct {
	Arguments []string
	Input     io.Reader
	Output    io.Writer
	Errors    io.Writer
	Flags     *flag.FlagSet
}

// commands returns the commands in the order in which help prints them.
func commands() []command {
	return []command{
		cmdNode(),
		cmdSidecar(),
		cmdCheck(),
		cmdAsk(),
		cmdBurn(),
		cmdDemo(),
		cmdLoad(),
		cmdFakeStore(),
		cmdFakeUpstream(),
		cmdVersion(),
		cmdHelp(),
	}
}

func run(ctx context.Context, args []string, out, errs io.Writer) int {
	c, rest, ok := findCommand(args)
	if !ok {
		if len(args) == 0 {
			printHelp(errs)
		}
		return reportError(errs, unknownCommand(args))
	}
	flags := flag.NewFlagSet("pomelo "+c.Name, flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { fmt.Fprintf(errs, "usage: pomelo %s %s\n", c.Name, c.Arguments); flags.PrintDefaults() }
	err := c.Action(ctx, invocation{Arguments: rest, Input: os.Stdin, Output: out, Errors: errs, Flags: flags})
	return reportError(errs, err)
}

// findCommand returns the command with the longest name that the arguments begin with, and the remaining arguments.
func findCommand(args []string) (command, []string, bool) {
	for n := min(2, len(args)); n > 0; n-- {
		name := args[0]
		if n == 2 {
			name += " " + args[1]
		}
		for _, c := range commands() {
			if c.Name == name {
				return c, args[n:], true
			}
		}
	}
	return command{}, nil, false
}

// reportError prints the error and returns the exit code.
func reportError(errs io.Writer, err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(errs, "pomelo: "+err.Error())
	var f *pomelo.Fault
	if !errors.As(err, &f) {
		return exitError
	}
	switch f.Kind {
	case pomelo.KindBadSettings, pomelo.KindBadCommand:
		return exitUsage
	case pomelo.KindInDoubt:
		return exitInDoubt
	case pomelo.KindNotApplied:
		return exitNotApplied
	}
	return exitError
}

// parse parses the command's flags; the flag package has already printed any error.
func (c invocation) parse() error {
	err := c.Flags.Parse(c.Arguments)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return pomelo.NewFault(pomelo.KindBadCommand, err.Error(), "see 'pomelo help'")
}
