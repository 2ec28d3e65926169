package cli

import (
	"cmp"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

type diffCommand struct {
	Streams  Streams `no-flag:"true"`
	ExitCode bool    `long:"exit-code" description:"exit with 1 when the bundles differ"`
	output
	Args struct {
		Before string `positional-arg-name:"BEFORE" description:"unsigned or published bundle"`
		After  string `positional-arg-name:"AFTER" description:"unsigned or published bundle"`
	} `positional-args:"yes" required:"yes"`
}

type diffResult struct {
	Before  string          `json:"before"`
	After   string          `json:"after"`
	Changes []bundle.Change `json:"changes"`
}

// Execute compares the bundles.
func (c *diffCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	before, err := readBundle(c.Args.Before)
	if err != nil {
		return err
	}
	after, err := readBundle(c.Args.After)
	if err != nil {
		return err
	}
	changes := append([]bundle.Change{}, bundle.Diff(before, after)...)
	result := diffResult{Before: c.Args.Before, After: c.Args.After, Changes: changes}
	if err := c.write(c.Streams.Out, result, result.text); err != nil {
		return err
	}
	if c.ExitCode && len(changes) > 0 {
		return eris.Errorf("%d fields differ", len(changes))
	}
	return nil
}

func readBundle(file string) (*bundle.Bundle, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read bundle")
	}
	return bundle.ReadAny(file, data)
}

func (r diffResult) text(w io.Writer) error {
	for _, change := range r.Changes {
		before, after := cmp.Or(change.Before, "-"), cmp.Or(change.After, "-")
		if _, err := fmt.Fprintf(w, "%s: %s -> %s\n", change.Path, before, after); err != nil {
			return err
		}
	}
	return nil
}
