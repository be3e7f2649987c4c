package figure

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// logBars draws bars from the lowest rate of the axis: the library's bars start at 0, which a logarithmic axis does not have.
type logBars struct {
	bars *plotter.BarChart
}

// Plot implements plot.Plotter.
func (o *logBars) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	bottom := y(minRate)
	for i, v := range o.bars.Values {
		left := x(float64(i)) - o.bars.Width/2 + o.bars.Offset
		top := y(max(v, minRate))
		c.FillPolygon(o.bars.Color, []vg.Point{
			{X: left, Y: bottom}, {X: left, Y: top}, {X: left + o.bars.Width, Y: top}, {X: left + o.bars.Width, Y: bottom},
		})
	}
}
