package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Sample is one result line of a benchmark.
type Sample struct {
	Name    string             // without Benchmark and the number of CPUs
	Metrics map[string]float64 // by unit, for example ns/op
}

var cpuSuffix = regexp.MustCompile(`-\d+$`)

// ReadSamples reads the output of go test -bench; other lines are skipped.
func ReadSamples(r io.Reader) ([]Sample, error) {
	var samples []Sample
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		sample, ok, err := parseLine(lines.Text())
		if err != nil {
			return nil, err
		}
		if ok {
			samples = append(samples, sample)
		}
	}
	return samples, eris.Wrap(lines.Err(), "read benchmark output")
}

// parseLine reads a name, a number of iterations and pairs of value and unit.
func parseLine(line string) (sample Sample, ok bool, err error) {
	fields := strings.Fields(line)
	if len(fields) < 4 || len(fields)%2 != 0 || !strings.HasPrefix(fields[0], "Benchmark") {
		return Sample{}, false, nil
	}
	name := cpuSuffix.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), "")
	sample = Sample{Name: name, Metrics: make(map[string]float64)}
	for i := 2; i < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Sample{}, false, eris.Wrapf(err, "read benchmark line %q", line)
		}
		sample.Metrics[fields[i+1]] = value
	}
	return sample, true, nil
}
