package bench

import (
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot draws the distributions of the times to the first token into a file,
// whose ending gives the format, such as .svg or .png.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Time to the first token, " + r.Shape
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of calls"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, kind := range kindOrder {
		k := r.Kinds[kind]
		if k == nil || k.First.Count == 0 {
			continue
		}
		line, err := plotter.NewLine(k.points())
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color = plotutil.Color(drawn)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(string(kind), line)
		drawn++
	}
	if drawn == 0 {
		return trace.BadParameter("nothing to draw: no call had a first token")
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, path))
}

// points are those of the cumulative distribution. The scale is logarithmic, so
// a time of zero is drawn as the least that is counted.
func (k *KindOf) points() plotter.XYs {
	points := make(plotter.XYs, 0, len(k.curve))
	for _, bracket := range k.curve {
		ms := float64(max(bracket.ValueAt, histogramLeast)) / float64(time.Millisecond)
		points = append(points, plotter.XY{X: ms, Y: bracket.Quantile / 100})
	}
	return points
}
