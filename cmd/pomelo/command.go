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
	// exitInDoubt: it is not known yet whether the change took effect.
	exitInDoubt = 3
	// exitNotInForce: the change is accepted, but not in force everywhere when the wait ended.
	exitNotInForce = 4
)

// command is one sub-command: its name, a line of help, its arguments and what it does.
type command struct {
	Name      string
	Summary   string
	Arguments string
	Action    func(ctx context.Context, c call) error
}

// call is one run of a command.
type call struct {
	Arguments []string
	Input     io.Reader
	Output    io.Writer
	Errors    io.Writer
	Flags     *flag.FlagSet
}

// commands is in the order in which help prints it.
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
	c, rest, ok := find(args)
	if !ok {
		if len(args) == 0 {
			printHelp(errs)
		}
		return report(errs, unknown(args))
	}
	flags := flag.NewFlagSet("pomelo "+c.Name, flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { fmt.Fprintf(errs, "usage: pomelo %s %s\n", c.Name, c.Arguments); flags.PrintDefaults() }
	err := c.Action(ctx, call{Arguments: rest, Input: os.Stdin, Output: out, Errors: errs, Flags: flags})
	return report(errs, err)
}

// find takes the command with the longest name that the arguments begin with.
func find(args []string) (command, []string, bool) {
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

// report prints an error once, and turns it into the exit code.
func report(errs io.Writer, err error) int {
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
		return exitNotInForce
	}
	return exitError
}

// parse reads a command's flags; what is wrong with them has been printed by then.
func (c call) parse() error {
	err := c.Flags.Parse(c.Arguments)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return pomelo.NewFault(pomelo.KindBadCommand, err.Error(), "see 'pomelo help'")
}
