package plots

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// The layout of the image: lineWidth and legendGap are in points, headroom multiplies the highest rate.
const (
	width           = 9 * vg.Inch
	panelHeight     = 3 * vg.Inch
	lineWidth       = 1.5
	millisPerSecond = 1000.0
	headroom        = 1.15
	legendGap       = 6
)

// Graph draws one panel for each report.
type Graph struct {
	reports []pomelo.LoadReport
}

// New returns a graph of the reports, from top to bottom.
func New(reports ...pomelo.LoadReport) *Graph {
	return &Graph{reports: reports}
}

// Save writes the graph as a PNG file to path.
func (g *Graph) Save(path string) error {
	c := vgimg.New(width, panelHeight*vg.Length(len(g.reports)))
	tiles := draw.Tiles{Rows: len(g.reports), Cols: 1, PadTop: vg.Points(6), PadBottom: vg.Points(4), PadRight: vg.Points(10), PadY: vg.Points(8)}
	canvas := draw.New(c)
	for i, p := range g.reports {
		panel, err := g.panel(p)
		if err != nil {
			return errors.Wrap(err, "draw the time line")
		}
		panel.Draw(tiles.At(canvas, 0, i))
	}
	return errors.Wrap(save(path, c), "write the picture")
}

func (g *Graph) panel(r pomelo.LoadReport) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title(r)
	p.X.Label.Text = "seconds from the start, by arrival"
	p.Y.Label.Text = "requests a second"
	p.X.Min, p.Y.Min = 0, 0
	p.X.Max = float64(r.Duration) / millisPerSecond
	p.Y.Max = g.maxOffered() * headroom
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.XOffs = vg.Points(legendGap)
	p.Add(plotter.NewGrid())
	for _, s := range r.Recoveries {
		if err := addSpan(p, s); err != nil {
			return nil, err
		}
	}
	for _, l := range lines() {
		if err := addLine(p, r, l); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// maxOffered returns the highest offered rate of all reports, which scales all panels alike.
func (g *Graph) maxOffered() float64 {
	highest := 1.0
	for _, r := range g.reports {
		for _, s := range r.Total.Seconds {
			highest = max(highest, float64(s.Offered))
		}
	}
	return highest
}

// line is one series of a panel.
type line struct {
	name  string
	color color.Color
	value func(s pomelo.LoadSecond) int64
}

func lines() []line {
	return []line{
		{"offered", color.Gray{Y: 150}, func(s pomelo.LoadSecond) int64 { return s.Offered }},
		{"whole", color.RGBA{G: 130, A: 255}, func(s pomelo.LoadSecond) int64 { return s.Complete }},
		{"late", color.RGBA{R: 40, G: 90, B: 220, A: 255}, func(s pomelo.LoadSecond) int64 { return s.Late }},
		{"refused", color.RGBA{R: 225, G: 140, A: 255}, func(s pomelo.LoadSecond) int64 { return s.Refused }},
		{"failed", color.RGBA{R: 200, B: 30, A: 255}, func(s pomelo.LoadSecond) int64 { return s.Failed }},
	}
}

func addLine(p *plot.Plot, r pomelo.LoadReport, l line) error {
	var points plotter.XYs
	for _, s := range r.Total.Seconds {
		points = append(points, plotter.XY{X: float64(s.Second) + 0.5, Y: float64(l.value(s))})
	}
	if len(points) == 0 {
		return nil
	}
	drawn, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	drawn.Color = l.color
	drawn.Width = vg.Points(lineWidth)
	p.Add(drawn)
	p.Legend.Add(l.name, drawn)
	return nil
}
