// Command sycamoreliftd is the daemon that runs on every instance.
package main

import (
	"os"

	"github.com/sycamorelift/sycamorelift/pkg/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
