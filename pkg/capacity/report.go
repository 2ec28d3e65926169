package capacity

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// minPoints is the number of sizes below which no line is fitted.
const minPoints = 4

// Command prints the fits of benchmark output and draws plots.
type Command struct {
	Out   string   `long:"out" description:"directory of the plots; without it only the fits are printed"`
	Units []string `long:"unit" description:"units to plot; default all but ns/op, B/op and MB/s"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"output of go test -bench"`
	} `positional-args:"yes"`
}

// Run reads the files, prints the fits to out and writes the plots.
func (c *Command) Run(out io.Writer) error {
	var samples []Sample
	for _, file := range c.Args.Files {
		read, err := readFile(file)
		if err != nil {
			return err
		}
		samples = append(samples, read...)
	}
	series := slices.DeleteFunc(Collect(samples), func(s Series) bool { return len(s.Points) < minPoints })
	if err := printFits(out, series); err != nil || c.Out == "" {
		return err
	}
	return c.plotAll(series)
}

func readFile(name string) ([]Sample, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open benchmark output")
	}
	defer file.Close()
	return ReadSamples(file)
}

func printFits(out io.Writer, series []Series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "benchmark\tparameter\tunit\tintercept\tslope\tR2\tworst error\tspread\tmedians")
	for _, s := range series {
		f, spread := FitLine(s.Points), 0.0
		medians := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			spread = max(spread, p.Spread())
			medians = append(medians, fmt.Sprintf("%s:%s", short(p.X), short(p.Median)))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.4f\t%.0f%%\t%.0f%%\t%s\n", s.Benchmark, s.Parameter, s.Unit,
			short(f.Intercept), short(f.Slope), f.R2, 100*f.WorstError, 100*spread, strings.Join(medians, " "))
	}
	return eris.Wrap(table.Flush(), "print fits")
}

// plotAll writes one plot for each top-level benchmark, parameter and unit.
func (c *Command) plotAll(series []Series) error {
	groups := make(map[string][]Series)
	for _, s := range series {
		if c.plots(s.Unit) {
			benchmark, _, _ := strings.Cut(s.Benchmark, "/")
			key := strings.Join([]string{benchmark, s.Parameter, s.Unit}, " ")
			groups[key] = append(groups[key], s)
		}
	}
	for key, group := range groups {
		if err := writePlot(filepath.Join(c.Out, fileName(key)), key, group); err != nil {
			return err
		}
	}
	return nil
}

func (c *Command) plots(unit string) bool {
	if len(c.Units) > 0 {
		return slices.Contains(c.Units, unit)
	}
	return !slices.Contains([]string{"ns/op", "B/op", "MB/s"}, unit)
}

var notFileName = regexp.MustCompile(`[^a-z0-9]+`)

func fileName(key string) string {
	return strings.Trim(notFileName.ReplaceAllString(strings.ToLower(key), "-"), "-") + ".svg"
}

func writePlot(path, title string, series []Series) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if err := Plot(file, title, series); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "close plot")
}
