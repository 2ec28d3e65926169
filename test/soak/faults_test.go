package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// Longest pause between two faults and longest fault.
const (
	faultPause  = 400 * time.Millisecond
	faultLength = 2 * time.Second
)

// fault injects one fault and ends it. It runs beside others.
type fault struct {
	name   string
	inject func(s *system, random *rand.Rand, length time.Duration)
}

var faults = []fault{
	{"kill", func(s *system, random *rand.Rand, _ time.Duration) {
		s.restart(pick(random, s.processes), (*process).kill)
	}},
	{"stop", func(s *system, random *rand.Rand, _ time.Duration) {
		s.restart(pick(random, s.processes), (*process).stop)
	}},
	{"pause", func(s *system, random *rand.Rand, length time.Duration) {
		p := pick(random, s.processes)
		p.signal(syscall.SIGSTOP)
		time.Sleep(length)
		p.signal(syscall.SIGCONT)
	}},
	{"reload", func(s *system, random *rand.Rand, _ time.Duration) {
		for range 3 {
			pick(random, s.processes).signal(syscall.SIGHUP)
		}
	}},
	{"reset", func(s *system, random *rand.Rand, _ time.Duration) { pick(random, s.proxies).reset() }},
	{"delay", proxyFault(delay)},
	{"jitter", proxyFault(jitter)},
	{"loss", proxyFault(lossy)},
	{"one-way", proxyFault(oneWay)},
	{"silent", proxyFault(silent)},
	{"server-slow", serverFault(platformtest.Fault{Delay: 200 * time.Millisecond})},
	{"server-refuses", serverFault(platformtest.Fault{Refuse: true})},
	{"server-loses", serverFault(platformtest.Fault{DropReply: true})},
	{"server-hangs", serverFault(platformtest.Fault{Hang: true})},
	{"store-busy", func(s *system, _ *rand.Rand, length time.Duration) {
		s.store.ForceStatus(http.StatusServiceUnavailable)
		time.Sleep(length)
		s.store.ForceStatus(0)
	}},
	{"store-forgets", func(s *system, _ *rand.Rand, _ time.Duration) { s.store.DropHistory() }},
	{"drain", func(s *system, random *rand.Rand, length time.Duration) {
		n := random.IntN(len(s.servers))
		s.list(n, "draining")
		time.Sleep(length)
		s.list(n, "ready")
	}},
	{"lapse", func(s *system, random *rand.Rand, length time.Duration) {
		n := random.IntN(len(s.servers))
		s.store.Write(platformtest.PrefixServers+s.servers[n].ID, "")
		time.Sleep(length)
		s.list(n, "ready")
	}},
	{"table", func(s *system, _ *rand.Rand, _ time.Duration) { s.publish() }},
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func proxyFault(mode proxyMode) func(*system, *rand.Rand, time.Duration) {
	return func(s *system, random *rand.Rand, length time.Duration) {
		p := pick(random, s.proxies)
		p.set(mode)
		time.Sleep(length)
		p.set(pass)
		p.reset() // what was held back is gone
	}
}

func serverFault(f platformtest.Fault) func(*system, *rand.Rand, time.Duration) {
	return func(s *system, random *rand.Rand, length time.Duration) {
		server := pick(random, s.servers)
		server.SetFault(f)
		time.Sleep(length)
		server.SetFault(platformtest.Fault{})
	}
}

// injectFaults starts faults, several at a time, until the end and waits for all.
func (s *system) injectFaults(random *rand.Rand, faults []fault, until time.Time) (history []string) {
	began := time.Now()
	for time.Now().Before(until) {
		f := pick(random, faults)
		length := time.Duration(random.Int64N(int64(faultLength)))
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		history = append(history, fmt.Sprintf("%.2f s %s for %.2f s", time.Since(began).Seconds(), f.name, length.Seconds()))
		s.background.Go(func() { f.inject(s, own, length) })
		time.Sleep(time.Duration(random.Int64N(int64(faultPause))))
	}
	s.background.Wait()
	return history
}
