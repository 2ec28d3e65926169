package capacity

import "math"

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
	n, sumX, sumY := float64(len(points)), 0.0, 0.0
	for _, p := range points {
		sumX += p.X
		sumY += p.Median
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.X-meanX, p.Median-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	f := Fit{Slope: xy / xx, R2: 1}
	f.Intercept = meanY - f.Slope*meanX
	f.judge(points, yy)
	return f
}

// judge fills in how well the line fits; variance is the sum of the squared
// distances of the medians from their mean.
func (f *Fit) judge(points []Point, variance float64) {
	residual := 0.0
	for _, p := range points {
		e := p.Median - f.At(p.X)
		residual += e * e
		if p.Median != 0 {
			f.WorstError = max(f.WorstError, math.Abs(e/p.Median))
		}
	}
	if variance > 0 {
		f.R2 = 1 - residual/variance
	}
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
