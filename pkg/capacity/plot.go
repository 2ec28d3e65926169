package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Size of a plot and its margins, in pixels.
const (
	plotWidth, plotHeight = 560, 340
	left, right           = 80, 20
	top, bottom           = 40, 50
	ticks                 = 4
)

var colours = []string{"#1f5fa8", "#c0392b", "#2e8b57", "#8e44ad"}

// Plot draws series over the same parameter into one SVG, each with its
// medians, ranges and fitted line.
func Plot(w io.Writer, title string, series []Series) error {
	p := newAxes(series)
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&svg, `<rect width="%d" height="%d" fill="white"/><text x="%d" y="18" font-size="13">%s</text>`+"\n", plotWidth, plotHeight, left, title)
	p.draw(&svg, series[0])
	for i, s := range series {
		p.drawSeries(&svg, s, colours[i%len(colours)], i)
	}
	svg.WriteString("</svg>\n")
	_, err := io.WriteString(w, svg.String())
	return eris.Wrap(err, "write plot")
}

func text(svg *strings.Builder, x, y float64, anchor, colour, content string) {
	fmt.Fprintf(svg, `<text x="%.1f" y="%.1f" text-anchor="%s" fill="%s">%s</text>`+"\n", x, y, anchor, colour, content)
}

func line(svg *strings.Builder, x1, y1, x2, y2 float64, colour string) {
	fmt.Fprintf(svg, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s"/>`+"\n", x1, y1, x2, y2, colour)
}
