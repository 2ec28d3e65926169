// Command platform plays a scene of the second review: some instances as processes, with a store,
// backend servers and callers on loopback addresses. It exits with 1 if the rule was broken, with 0
// if it held and with 2 if the scene could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: platform SCENE RELAY-BINARY RECORD-FILE")
		os.Exit(2)
	}
	scenes := map[string]func(*stage) error{"crash": repeatCrash, "cut": cutReader, "midway": crashMidway, "forgetful": forgetfulStore}
	play := scenes[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown scene", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*stage) error, binary, recordFile string) int {
	s, err := newStage(binary, recordFile, os.Getenv("TROUBLE") != "0")
	defer s.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	ended := make(chan error, 1)
	go func() { ended <- play(s) }()
	select {
	case err = <-ended:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return s.judge()
}
