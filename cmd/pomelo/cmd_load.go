package main

import (
	"context"
	"strings"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bench"
	"github.com/pomeloworks/pomelo/load"
	"github.com/pomeloworks/pomelo/plans"
	"github.com/pomeloworks/pomelo/plots"
	"github.com/pomeloworks/pomelo/sheet"
)

// loadOptions are the flags of the load command.
type loadOptions struct {
	fleet    string
	plan     string
	control  string
	disabled string
	plot     string
	compare  bool
	json     bool
	diff     bool
	seed     uint64
}

func cmdLoad() command {
	return command{
		Name:      "load",
		Summary:   "puts open-loop load on nodes and reports goodput, refusals and recovery",
		Arguments: "-plan FILE [-fleet FILE] [-control full|fixed|none] [-off PARTS] [-compare] [-json] [-plot FILE.png] [-seed N] | -diff A.json B.json",
		Action:    runLoad,
	}
}

func (c invocation) parseLoadOptions() (loadOptions, error) {
	var o loadOptions
	c.Flags.StringVar(&o.fleet, "fleet", "", "a JSON `file` with the fleet to bring up in this process")
	c.Flags.StringVar(&o.plan, "plan", "", "a JSON `file` with the plan")
	c.Flags.StringVar(&o.control, "control", pomelo.ControlFull, "the fleet's overload control: full, fixed or none")
	c.Flags.StringVar(&o.disabled, "off", "", "`parts` of the full control to switch off, with commas between them")
	c.Flags.BoolVar(&o.compare, "compare", false, "run the plan with none, fixed and full, one after another")
	c.Flags.BoolVar(&o.json, "json", false, "print the reports as JSON")
	c.Flags.StringVar(&o.plot, "plot", "", "draw the time line into a PNG `file`")
	c.Flags.Uint64Var(&o.seed, "seed", 0, "a seed in place of the plan's")
	c.Flags.BoolVar(&o.diff, "diff", false, "compare two files that -json wrote")
	return o, c.parse()
}

func runLoad(ctx context.Context, c invocation) error {
	o, err := c.parseLoadOptions()
	if err != nil {
		return err
	}
	if o.diff {
		return diffReports(c)
	}
	if o.plan == "" {
		return pomelo.NewFault(pomelo.KindBadCommand, "no plan is named", "pass -plan FILE; examples/ has some")
	}
	plan, err := plans.New().Load(o.plan)
	if err != nil {
		return err
	}
	if o.seed > 0 {
		plan.Seed = o.seed
	}
	reports, err := o.run(ctx, c, plan)
	if err != nil {
		return err
	}
	return o.write(c, reports)
}

func (o loadOptions) run(ctx context.Context, c invocation, plan pomelo.LoadPlan) ([]pomelo.LoadReport, error) {
	if o.fleet == "" {
		r, err := load.New(plan, load.WithProgress(c.Errors)).Run(ctx)
		return []pomelo.LoadReport{r}, err
	}
	f, err := plans.New().Fleet(o.fleet)
	if err != nil {
		return nil, err
	}
	if err := plans.New().CheckReferences(f, plan); err != nil {
		return nil, err
	}
	b := bench.New(f, plan, bench.WithProgress(c.Errors))
	var reports []pomelo.LoadReport
	for _, control := range o.controls() {
		r, err := b.Run(ctx, control, o.features(control)...)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (o loadOptions) controls() []string {
	if o.compare {
		return []string{pomelo.ControlNone, pomelo.ControlFixed, pomelo.ControlFull}
	}
	return []string{o.control}
}

// features returns the disabled features, which apply only to the full control.
func (o loadOptions) features(control string) []string {
	if o.disabled == "" || control != pomelo.ControlFull {
		return nil
	}
	return strings.Split(o.disabled, ",")
}

func (o loadOptions) write(c invocation, reports []pomelo.LoadReport) error {
	if o.plot != "" {
		if err := plots.New(reports...).Save(o.plot); err != nil {
			return err
		}
	}
	if o.json {
		return printJSON(c.Output, reports)
	}
	for _, r := range reports {
		if err := load.New(pomelo.LoadPlan{}).WriteText(c.Output, r); err != nil {
			return err
		}
	}
	if o.compare {
		return sheet.New(c.Output).Compare(reports)
	}
	return nil
}

func diffReports(c invocation) error {
	if c.Flags.NArg() != 2 {
		return pomelo.NewFault(pomelo.KindBadCommand, "-diff takes two files", "pass -diff A.json B.json")
	}
	var lastReports []pomelo.LoadReport
	for _, path := range c.Flags.Args() {
		reports, err := plans.New().Report(path)
		if err != nil {
			return err
		}
		if len(reports) == 0 {
			return pomelo.NewFault(pomelo.KindBadCommand, path+" holds no report", "write it with pomelo load -json")
		}
		lastReports = append(lastReports, reports[len(reports)-1])
	}
	return sheet.New(c.Output).Diff(lastReports[0], lastReports[1])
}
