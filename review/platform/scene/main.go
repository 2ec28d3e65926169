// Command scene plays one case of the review: it starts processes of the system, stand-ins for
// the platform's store and leafs, and clients, all on loopback addresses, and tells whether the
// rule of the case held.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// Exit codes of the cases.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestCase ends a case that hangs; a case may take 120 s.
const longestCase = 110 * time.Second

// host is the host name of all routes.
const host = "desk.example"

// scene holds what one case has started.
type scene struct {
	dir     string
	trouble bool
	store   *platformtest.Store
	relays  []*relay
	leafs   []*leaf
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

var cases = map[string]func(*scene) (broken bool, err error){
	"stop":    playStop,
	"refused": playRefused,
	"foreign": playForeign,
	"crash":   playCrash,
	"drain":   playDrain,
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file that gets what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *record))
}

func play(name, path string) int {
	playCase := cases[name]
	if playCase == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s := &scene{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longestCase):
			fmt.Fprintln(os.Stderr, "the case takes too long")
		}
		s.end()
		os.Exit(exitFailed)
	}()
	broken, err := playCase(s)
	s.end()
	code := exitHeld
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		code = exitFailed
	case broken:
		code = exitBroken
	}
	s.note("exit code %d", code)
	if err := errors.Join(record.Close(), os.RemoveAll(dir)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}
