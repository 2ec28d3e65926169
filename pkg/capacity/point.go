package capacity

import "slices"

// Point is the median and the range of repeated measurements at one size.
type Point struct {
	X, Median, Least, Greatest float64
}

func newPoint(x float64, ys []float64) Point {
	slices.Sort(ys)
	middle := len(ys) / 2
	median := ys[middle]
	if len(ys)%2 == 0 {
		median = (ys[middle-1] + ys[middle]) / 2
	}
	return Point{X: x, Median: median, Least: ys[0], Greatest: ys[len(ys)-1]}
}

// Spread is the range of the measurements as a share of their median.
func (p Point) Spread() float64 {
	if p.Median == 0 {
		return 0
	}
	return (p.Greatest - p.Least) / p.Median
}
