package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// plays are the scripts by name.
var plays = map[string]func(program string, r *record, trouble bool) (held bool, err error){
	"extra":    playExtra,
	"held":     playHeld,
	"versions": playVersions,
}

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("play", "", "what to play")
	program := flag.String("relay", "target/sycamorelift-relay", "program of an instance")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, known := plays[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown play %q\n", *name)
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = r.file.Close() }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		endAll()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("play %s, trouble %t", *name, trouble)
	held, err := play(*program, r, trouble)
	switch {
	case err != nil:
		r.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case !held:
		r.line("the rule was broken")
		return exitBroken
	}
	r.line("the rule held")
	return exitHeld
}
