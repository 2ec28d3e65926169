package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is the line y = Intercept + Slope x with the least sum of squared errors.
type Fit struct {
	Intercept, Slope float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	// WorstError is the greatest error of the line at a point, as a share of
	// the point's value. It is large when the measurements curve.
	WorstError float64
}

// FitLine fits the medians of at least two points of different X.
func FitLine(points []Point) Fit {
	xs, ys := make([]float64, 0, len(points)), make([]float64, 0, len(points))
	for _, p := range points {
		xs, ys = append(xs, p.X), append(ys, p.Median)
	}
	f := Fit{R2: 1}
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	if stat.Variance(ys, nil) > 0 {
		f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	}
	for _, p := range points {
		if p.Median != 0 {
			f.WorstError = max(f.WorstError, math.Abs((p.Median-f.At(p.X))/p.Median))
		}
	}
	return f
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
