package capacity

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws series over the same parameter into one SVG, each with its
// medians, ranges and fitted line.
func Plot(w io.Writer, title string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = series[0].Parameter
	p.Y.Label.Text = series[0].Unit
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Tick.Marker = shortTicks{}
	for i, s := range series {
		if err := addSeries(p, s, i); err != nil {
			return eris.Wrapf(err, "plot %s", s.Benchmark)
		}
	}
	svg, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return eris.Wrap(err, "draw plot")
	}
	_, err = svg.WriteTo(w)
	return eris.Wrap(err, "write plot")
}

func addSeries(p *plot.Plot, s Series, number int) error {
	points := seriesPoints(s.Points)
	medians, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	ranges, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	f := FitLine(s.Points)
	line, err := plotter.NewLine(fitted(s.Points, f))
	if err != nil {
		return err
	}
	colour := plotutil.Color(number)
	medians.Color, ranges.Color, line.Color = colour, colour, colour
	p.Add(medians, ranges, line)
	p.Legend.Add(fmt.Sprintf("%s: %s + %s x, R² %.3f", s.Benchmark, short(f.Intercept), short(f.Slope), f.R2), line)
	return nil
}

// fitted returns the ends of the line over the measured sizes.
func fitted(points []Point, f Fit) plotter.XYs {
	first, last := points[0].X, points[len(points)-1].X
	return plotter.XYs{{X: first, Y: f.At(first)}, {X: last, Y: f.At(last)}}
}

// seriesPoints gives plotter the medians and their ranges.
type seriesPoints []Point

// Len returns the number of points.
func (s seriesPoints) Len() int { return len(s) }

// XY returns a median.
func (s seriesPoints) XY(i int) (x, y float64) { return s[i].X, s[i].Median }

// YError returns the distances of the range's ends from a median.
func (s seriesPoints) YError(i int) (below, above float64) {
	return s[i].Median - s[i].Least, s[i].Greatest - s[i].Median
}

// shortTicks labels an axis with decimal prefixes.
type shortTicks struct{}

// Ticks implements plot.Ticker.
func (shortTicks) Ticks(least, most float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(least, most)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = short(ticks[i].Value)
		}
	}
	return ticks
}
