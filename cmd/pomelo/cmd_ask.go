package main

import (
	"context"
	"os"
	"strings"

	"github.com/mattn/go-isatty"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/client"
)

const defaultAdmin = "127.0.0.1:7402"

func cmdAsk() command {
	return command{
		Name:      "ask",
		Summary:   "queries a node or sends it commands",
		Arguments: "[-node ADDR] [-token_file FILE] [-json] [-id ID] [-expected REVISION] [-wait_ms N] [\"COMMAND\"]",
		Action:    runAsk,
	}
}

// askSession sends commands to one node and prints the answers.
type askSession struct {
	invocation invocation
	client     *client.Client
	asJSON     bool
	id         string
	expected   int64
	wait       int64
}

func runAsk(ctx context.Context, c invocation) error {
	a := &askSession{invocation: c}
	node, tokenFile := adminFlags(c)
	c.Flags.BoolVar(&a.asJSON, "json", false, "print answers as JSON")
	c.Flags.StringVar(&a.id, "id", "", "repeat the command that was given under this `id`")
	c.Flags.Int64Var(&a.expected, "expected", 0, "change the record only at this `revision`; 0 takes any")
	c.Flags.Int64Var(&a.wait, "wait_ms", 0, "wait up to `n` milliseconds until the change is in force everywhere")
	if err := c.parse(); err != nil {
		return err
	}
	var err error
	if a.client, err = newClient(*node, *tokenFile); err != nil {
		return err
	}
	if c.Flags.NArg() > 0 {
		return a.execute(ctx, strings.Join(c.Flags.Args(), " "))
	}
	if a.id != "" || a.expected != 0 {
		return pomelo.NewFault(pomelo.KindBadCommand, "-id and -expected are of one command", "give the command as an argument")
	}
	if f, ok := c.Input.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return a.runInteractive(ctx)
	}
	return a.runLines(ctx)
}

func adminFlags(c invocation) (node, tokenFile *string) {
	node = c.Flags.String("node", defaultAdmin, "the `host:port` of a node's administration listener")
	tokenFile = c.Flags.String("token_file", "", "a `file` with the operator's token")
	return node, tokenFile
}

func newClient(node, tokenFile string) (*client.Client, error) {
	if tokenFile == "" {
		return client.New(node), nil
	}
	b, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, pomelo.NewFault(pomelo.KindBadCommand, err.Error(), "pass -token_file with a readable file")
	}
	return client.New(node, client.WithToken(strings.TrimSpace(string(b)))), nil
}

// execute sends one command and prints its answer; the error is KindNotApplied when some nodes have not applied the change yet.
func (a *askSession) execute(ctx context.Context, line string) error {
	out, err := a.client.Command(ctx, pomelo.CommandRequest{
		ID:       a.id,
		Command:  line,
		Expected: pomelo.Revision(a.expected),
		Wait:     pomelo.Millis(a.wait),
		Repeat:   a.id != "",
	})
	if err != nil {
		if a.asJSON {
			out.Fault = pomelo.FaultOf(err)
			_ = printJSON(a.invocation.Output, out)
		}
		return err
	}
	if err := a.print(out); err != nil {
		return err
	}
	if len(out.NotApplied) == 0 {
		return nil
	}
	return pomelo.NewFault(pomelo.KindNotApplied, "accepted, but not yet in force at: "+strings.Join(out.NotApplied, ", "), "give it again with -id "+out.ID+" and a longer -wait_ms; look at these nodes")
}

func (a *askSession) print(out pomelo.CommandResult) error {
	if a.asJSON {
		return printJSON(a.invocation.Output, out)
	}
	return printResult(a.invocation.Output, out)
}
