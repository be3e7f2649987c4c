package figure

import (
	"cmp"
	"image/color"
	"io"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	width            = 25 * vg.Centimeter
	height           = 20 * vg.Centimeter
	barWidth         = 9 * vg.Millimeter
	maxServices      = 16  // services
	minRate          = 0.1 // the lowest rate on the logarithmic axis
	minAxisTop       = 200 // the highest rate on the axis is at least this
	headroom         = 10  // times the highest bar
	budgetRate       = 1
	fastBurnRate     = 14.4
	rotateLabelsFrom = 6 // services
	labelRotation    = math.Pi / 6
)

var (
	colors = []color.Color{
		color.RGBA{R: 0x21, G: 0x66, B: 0xac, A: 0xff},
		color.RGBA{R: 0xf4, G: 0xa5, B: 0x82, A: 0xff},
		color.RGBA{R: 0xb2, G: 0x18, B: 0x2b, A: 0xff},
	}
	windowNames = []string{"5 min", "1 h", "6 h"}
	dark        = color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xff}
)

// Figure is a chart of a burn report.
type Figure struct {
	report pomelo.BurnReport
}

// New returns a chart of the services with the highest burn rates.
func New(report pomelo.BurnReport) *Figure {
	report.Services = slices.Clone(report.Services)
	slices.SortStableFunc(report.Services, func(a, b pomelo.BurnService) int { return cmp.Compare(maxRate(b), maxRate(a)) })
	report.Services = report.Services[:min(len(report.Services), maxServices)]
	return &Figure{report: report}
}

// WritePNG writes the chart as PNG; it returns the error of w or of the plot library.
func (f *Figure) WritePNG(w io.Writer) error {
	at := time.UnixMilli(int64(f.report.At)).UTC().Format(time.RFC3339)
	complete, err := f.panel("Burn of the budget for whole answers, "+at, func(s pomelo.BurnService) pomelo.BurnGoal { return s.Complete })
	if err != nil {
		return err
	}
	latency, err := f.panel("Burn of the budget for latency", func(s pomelo.BurnService) pomelo.BurnGoal { return s.Latency })
	if err != nil {
		return err
	}
	c := vgimg.New(width, height)
	plots := [][]*plot.Plot{{complete}, {latency}}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadX: vg.Centimeter / 2, PadY: vg.Centimeter, PadTop: vg.Centimeter / 2, PadBottom: vg.Centimeter / 2, PadLeft: vg.Centimeter / 2, PadRight: vg.Centimeter / 2}
	canvases := plot.Align(plots, tiles, draw.New(c))
	// Both panels share the legend of the upper one.
	latency.Legend = plot.NewLegend()
	complete.Draw(canvases[0][0])
	latency.Draw(canvases[1][0])
	_, err = vgimg.PngCanvas{Canvas: c}.WriteTo(w)
	return errors.Wrap(err, "write the picture")
}

func (f *Figure) panel(title string, goal func(pomelo.BurnService) pomelo.BurnGoal) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "burn rate, from 0.1"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Add(horizontalGrid())
	top := float64(minAxisTop)
	for w := range windowNames {
		values := f.values(w, goal)
		top = max(top, headroom*slices.Max(append(slices.Clone(values), 0)))
		if err := addBars(p, values, w); err != nil {
			return nil, err
		}
	}
	if err := f.addThresholds(p); err != nil {
		return nil, err
	}
	p.Y.Min, p.Y.Max = minRate, top
	p.X.Min, p.X.Max = -0.5, max(float64(len(f.report.Services)), 1)-0.5
	p.NominalX(f.names()...)
	if len(f.report.Services) >= rotateLabelsFrom {
		p.X.Tick.Label.Rotation = labelRotation
		p.X.Tick.Label.XAlign = draw.XRight
	}
	p.Legend.Top = true
	p.Legend.Padding = vg.Millimeter
	return p, nil
}

func (f *Figure) names() []string {
	var out []string
	for _, s := range f.report.Services {
		out = append(out, s.Objective.Service)
	}
	if len(out) == 0 {
		out = append(out, "no objectives")
	}
	return out
}

func (f *Figure) values(window int, goal func(pomelo.BurnService) pomelo.BurnGoal) plotter.Values {
	var out plotter.Values
	for _, s := range f.report.Services {
		rate := 0.0
		if g := goal(s); window < len(g.Windows) {
			rate = g.Windows[window].Rate
		}
		out = append(out, max(rate, minRate))
	}
	return out
}

// addThresholds draws lines at the rate that just uses up the budget and at the rate of a fast burn, which calls for immediate action.
func (f *Figure) addThresholds(p *plot.Plot) error {
	end := max(float64(len(f.report.Services)), 1) - 0.5
	for _, at := range []float64{budgetRate, fastBurnRate} {
		l, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: at}, {X: end, Y: at}})
		if err != nil {
			return errors.Wrap(err, "draw a line")
		}
		l.Color = dark
		l.Width = vg.Points(1)
		name := "fast burn, 14.4"
		if at == budgetRate {
			name = "budget just used up, 1"
			l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(l)
		p.Legend.Add(name, l)
	}
	return nil
}

func addBars(p *plot.Plot, values plotter.Values, window int) error {
	if len(values) == 0 {
		return nil
	}
	scaledWidth := min(barWidth, width/vg.Length(5*len(values)))
	b, err := plotter.NewBarChart(values, scaledWidth)
	if err != nil {
		return errors.Wrap(err, "draw bars")
	}
	b.Color = colors[window]
	b.LineStyle.Width = 0
	b.Offset = vg.Length(window-1) * scaledWidth
	p.Add(&logBars{b})
	p.Legend.Add(windowNames[window], b)
	return nil
}

func horizontalGrid() *plotter.Grid {
	g := plotter.NewGrid()
	g.Vertical.Width = 0
	return g
}

func maxRate(s pomelo.BurnService) float64 {
	top := 0.0
	for _, g := range []pomelo.BurnGoal{s.Complete, s.Latency} {
		for _, w := range g.Windows {
			top = max(top, w.Rate)
		}
	}
	return top
}
