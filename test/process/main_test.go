// Package process tests the daemon and the simulated platform as separate
// processes on loopback: they are killed, paused and stopped by signals, and
// every answer is checked against the oracle.
package process

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// root is the module's directory, seen from the test's.
var root = filepath.Join("..", "..")

// binaries is the directory of the commands that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

// noteSources opens the directories of all sources. The go command caches the
// result of a test by the test binary and the files that it opens, and does not
// see what the commands are built from. Only files opened within a test count.
func noteSources() error {
	for _, top := range []string{"cmd", "pkg"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			directory, err := os.Open(path)
			if err != nil {
				return err
			}
			return directory.Close()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func buildAndRun(m *testing.M) int {
	if testing.Short() {
		return m.Run() // the test skips itself
	}
	directory, err := os.MkdirTemp("", "sycamorelift-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "./cmd/...")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the commands: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}
