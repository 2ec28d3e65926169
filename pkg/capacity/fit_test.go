package capacity

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const output = `goos: linux
BenchmarkX/mode=a/n=10-4   100   25 ns/op   7 B/op
BenchmarkX/mode=a/n=10-4   100   23 ns/op   7 B/op
BenchmarkX/mode=a/n=10-4   100   90 ns/op   7 B/op
BenchmarkX/mode=a/n=20-4   100   45 ns/op   7 B/op
BenchmarkX/mode=a/n=40-4   100   85 ns/op   7 B/op
PASS
`

// Guards against a slope that mixes up parameter and value, that follows an
// outlier instead of the median, or that hides how far the line is off.
func TestFitOfKnownPoints(t *testing.T) {
	samples, err := ReadSamples(strings.NewReader(output))
	assert.NilError(t, err)
	series := Collect(samples)
	assert.Equal(t, len(series), 2)
	times := series[1]
	assert.DeepEqual(t, times.Points[0], Point{X: 10, Median: 25, Least: 23, Greatest: 90})
	assert.Equal(t, times.Benchmark+" "+times.Parameter+" "+times.Unit, "X/mode=a n ns/op")
	assert.Assert(t, near(FitLine(times.Points), Fit{Intercept: 5, Slope: 2, R2: 1}))
	assert.Assert(t, near(FitLine(series[0].Points), Fit{Intercept: 7, R2: 1}), "constant")
	curved := []Point{{X: 1, Median: 1}, {X: 2, Median: 4}, {X: 3, Median: 9}}
	assert.Assert(t, near(FitLine(curved), Fit{Intercept: -10.0 / 3, Slope: 4, R2: 48.0 / 49, WorstError: 1.0 / 3}))
}

func near(got, want Fit) cmp.Comparison {
	return func() cmp.Result {
		const tolerance = 1e-9
		for _, d := range []float64{got.Intercept - want.Intercept, got.Slope - want.Slope, got.R2 - want.R2, got.WorstError - want.WorstError} {
			if d > tolerance || d < -tolerance {
				return cmp.ResultFailure("got fit " + strings.TrimSpace(strings.Join([]string{short(got.Intercept), short(got.Slope), short(got.R2), short(got.WorstError)}, " ")))
			}
		}
		return cmp.ResultSuccess
	}
}
