package sheet

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

const (
	columnGap          = 2
	millisPerSecond    = 1000.0
	reportedImportance = 9
)

// Sheet writes tables of measures.
type Sheet struct {
	output io.Writer
}

// New returns a Sheet that writes to w.
func New(w io.Writer) *Sheet {
	return &Sheet{output: w}
}

// row is one measure of a report; ok is false if the report lacks it.
type row struct {
	name  string
	value func(p pomelo.LoadReport) (v float64, ok bool)
}

// Compare writes one column for each report; it returns the writer's error.
func (s *Sheet) Compare(reports []pomelo.LoadReport) error {
	t := s.table()
	fmt.Fprintln(t, "measure\t"+strings.Join(titles(reports), "\t")+"\t")
	for _, r := range rows(reports) {
		line := r.name + "\t"
		for _, p := range reports {
			line += cell(r.value(p)) + "\t"
		}
		fmt.Fprintln(t, line)
	}
	return errors.Wrap(t.Flush(), "write the comparison")
}

// Diff writes two reports and the difference b - a; it returns the writer's error.
func (s *Sheet) Diff(a, b pomelo.LoadReport) error {
	t := s.table()
	fmt.Fprintln(t, "measure\tA "+title(a)+"\tB "+title(b)+"\tB - A\t")
	for _, r := range rows([]pomelo.LoadReport{a, b}) {
		x, hasX := r.value(a)
		y, hasY := r.value(b)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t\n", r.name, cell(x, hasX), cell(y, hasY), cell(y-x, hasX && hasY))
	}
	return errors.Wrap(t.Flush(), "write the difference")
}

func (s *Sheet) table() *tabwriter.Writer {
	return tabwriter.NewWriter(s.output, 0, 0, columnGap, ' ', tabwriter.AlignRight)
}

func titles(reports []pomelo.LoadReport) []string {
	var out []string
	for _, p := range reports {
		out = append(out, title(p))
	}
	return out
}

func title(p pomelo.LoadReport) string {
	if len(p.Disabled) > 0 {
		return p.Control + " without " + strings.Join(p.Disabled, ",")
	}
	return p.Control
}

func cell(v float64, ok bool) string {
	if !ok {
		return "-"
	}
	if v == float64(int64(v)) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3f", v)
}
