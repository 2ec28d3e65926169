// Package soak runs real instances as separate processes, with stand-ins of the
// users' platform, and injects faults from outside: processes are killed, paused,
// stopped and restarted by signals, connections are delayed, reset, cut one way or
// silenced by loopback proxies, servers refuse, hang or lose answers, and the store
// is away or forgets its history. It checks the platform's promises from what
// callers and backend servers see.
//
// One seed: go test ./test/soak -run TestSoak -args -seed 7 -seconds 20.
// Many: go test ./test/soak -run TestSoak -timeout 60m -args -seed 100 -seeds 50.
package soak
