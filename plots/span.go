package plots

import (
	"fmt"
	"image/color"
	"os"

	"github.com/pomeloworks/pomelo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg/vgimg"
)

// addSpan shades the time span of a trigger or surge.
func addSpan(p *plot.Plot, s pomelo.LoadRecovery) error {
	from, to := float64(s.From)/millisPerSecond, float64(s.To)/millisPerSecond
	corners := plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}}
	area, err := plotter.NewPolygon(corners)
	if err != nil {
		return err
	}
	area.Color = color.NRGBA{R: 120, G: 140, B: 255, A: 40}
	area.LineStyle.Width = 0
	p.Add(area)
	return nil
}

func title(r pomelo.LoadReport) string {
	t := fmt.Sprintf("%s, control %s, seed %d", r.Name, r.Control, r.Seed)
	for _, s := range r.Recoveries {
		t += "; " + s.Name + ": " + recoveryText(s.Recovery)
	}
	return t
}

func recoveryText(d pomelo.Millis) string {
	if d < 0 {
		return "not recovered"
	}
	return fmt.Sprintf("recovered in %.2f s", float64(d)/millisPerSecond)
}

func save(path string, c *vgimg.Canvas) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
