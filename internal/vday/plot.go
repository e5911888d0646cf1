package vday

import (
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// Plot draws each candidate as a point between idle hours and p99 wait, both
// against the baseline, into an SVG or PNG file.
func Plot(path string, all []Comparison) error {
	if ext := filepath.Ext(path); ext != ".svg" && ext != ".png" {
		return trace.BadParameter("plot %s: the file has to end in .svg or .png", path)
	}
	p := plot.New()
	p.Title.Text = "Policies against the baseline (1, 1)"
	p.X.Label.Text = "idle accelerator hours, baseline = 1"
	p.Y.Label.Text = "p99 wait for a replica, baseline = 1"
	for i, c := range all {
		if err := addPoints(p, i, c); err != nil {
			return trace.Wrap(err, "plot %s", path)
		}
	}
	p.X.Min, p.Y.Min = 0, 0
	return trace.Wrap(p.Save(plotWidth, plotHeight, path), "plot %s", path)
}

var glyphs = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.TriangleGlyph{}}

func addPoints(p *plot.Plot, series int, c Comparison) error {
	points := make(plotter.XYs, 0, len(c.Rows))
	names := make([]string, 0, len(c.Rows))
	for _, r := range c.Rows {
		points = append(points, plotter.XY{X: 1 + r.IdleChange.Mean, Y: 1 + r.P99Change.Mean})
		names = append(names, "  "+c.Deployment+": "+mark(r))
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return trace.Wrap(err)
	}
	scatter.Shape = glyphs[series%len(glyphs)]
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return trace.Wrap(err)
	}
	p.Add(scatter, labels)
	p.Legend.Add(c.Deployment, scatter)
	return nil
}
