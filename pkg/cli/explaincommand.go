package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/explain"
)

// explainCommand tells from logs what decided a request.
type explainCommand struct {
	Streams Streams `no-flag:"true"`
	output
	Args struct {
		RequestID string   `positional-arg-name:"REQUEST-ID" description:"as stated by the caller"`
		Files     []string `positional-arg-name:"FILE" required:"1" description:"logs of instances, JSON lines"`
	} `positional-args:"yes" required:"yes"`
}

// Execute explains the request.
func (c *explainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var lines []explain.Line
	for _, file := range c.Args.Files {
		found, err := readLog(file, c.Args.RequestID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	result := explain.Explain(c.Args.RequestID, lines)
	if !result.Found {
		crashes, err := readCrashes(c.Args.Files)
		if err != nil {
			return err
		}
		result = result.WithCrashes(crashes)
	}
	if err := c.write(c.Streams.Out, result, func(w io.Writer) error { return writeExplanation(w, result) }); err != nil {
		return err
	}
	if !result.Found {
		return eris.Errorf("request %s is not in the logs", c.Args.RequestID)
	}
	return nil
}

func readLog(name, requestID string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer file.Close()
	return explain.ReadLines(file, requestID)
}

func readCrashes(names []string) ([]explain.Crash, error) {
	var all []explain.Crash
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open log")
		}
		crashes, err := explain.ReadCrashes(file)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, err
		}
		all = append(all, crashes...)
	}
	return all, nil
}

func writeExplanation(w io.Writer, e explain.Explanation) error {
	if _, err := fmt.Fprintf(w, "%s: %s\n", e.RequestID, e.Cause); err != nil {
		return err
	}
	for _, line := range e.Lines {
		if _, err := fmt.Fprintf(w, "  %s: %s\n", line.Instance, line.Message); err != nil {
			return err
		}
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			if _, err := fmt.Fprintf(w, "    %s: %v\n", name, line.Fields[name]); err != nil {
				return err
			}
		}
	}
	return nil
}
