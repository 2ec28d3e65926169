package capacity

import (
	"fmt"
	"strings"
)

// axes maps values to pixels; both start at 0.
type axes struct {
	maxX, maxY float64
}

func newAxes(series []Series) axes {
	var a axes
	for _, s := range series {
		for _, p := range s.Points {
			a.maxX = max(a.maxX, p.X)
			a.maxY = max(a.maxY, p.Greatest)
		}
	}
	if a.maxY == 0 {
		a.maxY = 1
	}
	return a
}

func (a axes) x(v float64) float64 { return left + v/a.maxX*(plotWidth-left-right) }

func (a axes) y(v float64) float64 {
	return plotHeight - bottom - max(v, 0)/a.maxY*(plotHeight-top-bottom)
}

func (a axes) draw(svg *strings.Builder, s Series) {
	for i := range ticks + 1 {
		x, y := a.maxX*float64(i)/ticks, a.maxY*float64(i)/ticks
		line(svg, a.x(0), a.y(y), a.x(a.maxX), a.y(y), "#dddddd")
		text(svg, a.x(0)-6, a.y(y)+4, "end", "black", short(y))
		text(svg, a.x(x), a.y(0)+16, "middle", "black", short(x))
	}
	line(svg, a.x(0), a.y(0), a.x(a.maxX), a.y(0), "black")
	line(svg, a.x(0), a.y(0), a.x(0), a.y(a.maxY), "black")
	text(svg, a.x(a.maxX/2), plotHeight-12, "middle", "black", s.Parameter)
	text(svg, left, 34, "end", "black", s.Unit)
}

func (a axes) drawSeries(svg *strings.Builder, s Series, colour string, row int) {
	f := FitLine(s.Points)
	first, last := s.Points[0].X, s.Points[len(s.Points)-1].X
	line(svg, a.x(first), a.y(f.At(first)), a.x(last), a.y(f.At(last)), colour)
	for _, p := range s.Points {
		line(svg, a.x(p.X), a.y(p.Least), a.x(p.X), a.y(p.Greatest), colour)
		fmt.Fprintf(svg, `<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>`+"\n", a.x(p.X), a.y(p.Median), colour)
	}
	legend := fmt.Sprintf("%s: %s + %s x, R² %.3f", s.Benchmark, short(f.Intercept), short(f.Slope), f.R2)
	text(svg, left+10, float64(top+12+14*row), "start", colour, legend)
}

// short formats a number with four digits and a decimal prefix.
func short(v float64) string {
	for _, unit := range []struct {
		factor float64
		prefix string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if v >= unit.factor || v <= -unit.factor {
			return fmt.Sprintf("%.4g%s", v/unit.factor, unit.prefix)
		}
	}
	return fmt.Sprintf("%.4g", v)
}
