package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pomeloworks/pomelo"
)

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printResult(w io.Writer, r pomelo.CommandResult) error {
	if r.KeyID != "" {
		fmt.Fprintf(w, "key %s\n", r.KeyID)
	}
	if r.Secret != "" {
		fmt.Fprintf(w, "secret %s (shown only now)\n", r.Secret)
	}
	if r.Repeated {
		fmt.Fprintln(w, "this command had already been applied")
	}
	if r.Revision > 0 {
		fmt.Fprintf(w, "accepted at revision %d\n", r.Revision)
	}
	if r.Note != "" {
		fmt.Fprintln(w, "note: "+r.Note)
	}
	if r.Table != nil {
		if err := printTable(w, *r.Table); err != nil {
			return err
		}
	}
	if len(r.Unresponsive) > 0 {
		fmt.Fprintln(w, "no answer from: "+strings.Join(r.Unresponsive, ", "))
	}
	return nil
}

func printTable(w io.Writer, t pomelo.Table) error {
	if len(t.Rows) == 0 {
		_, err := fmt.Fprintln(w, "none")
		return err
	}
	out := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(out, strings.Join(t.Columns, "\t"))
	for _, r := range t.Rows {
		fmt.Fprintln(out, strings.Join(r, "\t"))
	}
	return out.Flush()
}
