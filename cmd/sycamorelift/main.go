// Command sycamorelift is the command-line tool for operators and developers.
package main

import (
	"os"

	"github.com/sycamorelift/sycamorelift/pkg/cli"
	"github.com/sycamorelift/sycamorelift/pkg/demo"
	"github.com/sycamorelift/sycamorelift/pkg/experiment"
)

func main() {
	streams := cli.Streams{Out: os.Stdout, Err: os.Stderr}
	commands := append(cli.Commands(streams),
		cli.Command{Name: "demo", Short: "Run a demonstration with its own platform", Data: &demo.Command{}},
		cli.Command{Name: "experiment", Short: "Compare two policies under load", Data: &experiment.Command{}})
	os.Exit(cli.Run(os.Args[1:], streams, commands))
}
