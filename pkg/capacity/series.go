package capacity

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Series are the measurements of one unit of a benchmark over one parameter.
type Series struct {
	Benchmark string // name up to the parameter, for example Merge/frame=one
	Parameter string // for example shards
	Unit      string // for example ns/op
	Points    []Point
}

// Collect groups samples by benchmark and unit. The parameter is the last
// key=value element of the name; samples without one are left out. Series are
// ordered by benchmark and unit, points by parameter.
func Collect(samples []Sample) []Series {
	byKey := make(map[[3]string]map[float64][]float64)
	for _, sample := range samples {
		benchmark, parameter, x, ok := splitName(sample.Name)
		if !ok {
			continue
		}
		for unit, y := range sample.Metrics {
			key := [3]string{benchmark, parameter, unit}
			if byKey[key] == nil {
				byKey[key] = make(map[float64][]float64)
			}
			byKey[key][x] = append(byKey[key][x], y)
		}
	}
	var all []Series
	for key, values := range byKey {
		all = append(all, Series{key[0], key[1], key[2], points(values)})
	}
	slices.SortFunc(all, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Benchmark, b.Benchmark), cmp.Compare(a.Parameter, b.Parameter), cmp.Compare(a.Unit, b.Unit))
	})
	return all
}

func splitName(name string) (benchmark, parameter string, x float64, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", "", 0, false
	}
	parameter, value, ok := strings.Cut(name[slash+1:], "=")
	x, err := strconv.ParseFloat(value, 64)
	return name[:slash], parameter, x, ok && err == nil
}

func points(values map[float64][]float64) []Point {
	var all []Point
	for x, ys := range values {
		all = append(all, newPoint(x, ys))
	}
	slices.SortFunc(all, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	return all
}
