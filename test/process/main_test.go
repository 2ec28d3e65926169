// Package process tests the daemon and the simulated platform as separate
// processes on loopback: they are killed, paused and stopped by signals, and
// every answer is checked against the oracle.
package process

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the directory of the commands that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	if testing.Short() {
		return 0
	}
	directory, err := os.MkdirTemp("", "sycamorelift-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the commands: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}
