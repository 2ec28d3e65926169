// Command capacityplot fits the results of go test -bench output, prints the fits and
// plots them.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/sycamorelift/sycamorelift/pkg/capacity"
)

func main() {
	var command capacity.Command
	if _, err := flags.Parse(&command); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := command.Run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
