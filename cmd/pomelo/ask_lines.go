package main

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterh/liner"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/query"
)

const prompt = "pomelo> "

// runLines executes one command per line and stops at the first that fails; empty lines and lines that begin with # are skipped.
func (a *askSession) runLines(ctx context.Context) error {
	s := bufio.NewScanner(a.invocation.Input)
	number := 0
	for s.Scan() {
		number++
		line := strings.TrimSpace(s.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := a.execute(ctx, line); err != nil {
			return errors.Wrapf(err, "line %d", number)
		}
	}
	return errors.Wrap(s.Err(), "read commands")
}

// runInteractive reads commands from a terminal until the input ends; the line history is kept in memory only.
func (a *askSession) runInteractive(ctx context.Context) error {
	p, err := query.New()
	if err != nil {
		return err
	}
	l := liner.NewLiner()
	defer func() { _ = l.Close() }()
	l.SetCtrlCAborts(true)
	l.SetWordCompleter(func(line string, cursor int) (string, []string, string) {
		return complete(p, line, cursor)
	})
	fmt.Fprintln(a.invocation.Output, "Press Tab to complete a word; enter exit or press Ctrl-D to quit.")
	for ctx.Err() == nil {
		line, err := l.Prompt(prompt)
		if err != nil || line == "exit" || line == "quit" {
			return nil
		}
		if strings.TrimSpace(line) == "" {
			continue
		}
		l.AppendHistory(line)
		if err := a.execute(ctx, line); err != nil {
			fmt.Fprintln(a.invocation.Errors, pomelo.FaultOf(err).Error())
		}
	}
	return nil
}

// complete returns the text before the word at the cursor, the possible completions of the word, and the text after the cursor.
func complete(p *query.Parser, line string, cursor int) (string, []string, string) {
	start := strings.LastIndex(line[:cursor], " ") + 1
	return line[:start], p.Completions(line[:cursor]), line[cursor:]
}
