package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/finding"
)

const checkHelp = "Reports every finding in an unsigned or published bundle with file, line, column and path. " +
	"Signatures are not checked; use verify for that."

type checkCommand struct {
	Streams Streams `no-flag:"true"`
	output
	Args struct {
		Bundle string `positional-arg-name:"BUNDLE" description:"unsigned or published bundle"`
	} `positional-args:"yes" required:"yes"`
}

type checkResult struct {
	Bundle   string       `json:"bundle"`
	Findings finding.List `json:"findings"`
}

// errFindings tells that the findings have been written to standard output.
var errFindings = errors.New("the bundle has findings")

// Execute checks the bundle.
func (c *checkCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	data, err := readFile(c.Args.Bundle)
	if err != nil {
		return eris.Wrap(err, "read bundle")
	}
	result := checkResult{Bundle: c.Args.Bundle, Findings: finding.List{}}
	_, err = bundle.ReadAny(c.Args.Bundle, data)
	if err != nil && !errors.As(err, &result.Findings) {
		return err
	}
	if err := c.write(c.Streams.Out, result, result.text); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return errFindings
	}
	return nil
}

func (r checkResult) text(w io.Writer) error {
	if len(r.Findings) == 0 {
		_, err := fmt.Fprintf(w, "%s: no findings\n", r.Bundle)
		return err
	}
	_, err := fmt.Fprintln(w, r.Findings.Error())
	return err
}
