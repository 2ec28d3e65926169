// Command sycamorelift-relay runs one instance on the users' platform.
package main

import (
	"os"

	"github.com/sycamorelift/sycamorelift/platform"
)

func main() {
	os.Exit(platform.Main(os.Stdout, os.Stderr))
}
