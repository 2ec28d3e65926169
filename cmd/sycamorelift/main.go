// Command sycamorelift is the command-line tool for operators and developers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/sycamorelift/sycamorelift/pkg/demo"
	"github.com/sycamorelift/sycamorelift/pkg/experiment"
)

func main() {
	p := flags.NewNamedParser("sycamorelift", flags.HelpFlag|flags.PassDoubleDash)
	_, _ = p.AddCommand("demo", "run a demonstration", "", &demo.Command{})
	_, _ = p.AddCommand("experiment", "run an experiment", "", &experiment.Command{})
	_, err := p.Parse()
	var fe *flags.Error
	if errors.As(err, &fe) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
