package faults

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	// faultDelay lets the requests of a step be in progress when its faults begin.
	faultDelay = 15 * time.Millisecond
	// settleTime lets cancelled work end before executions are compared.
	settleTime = 50 * time.Millisecond
	// backgroundBound ends a restart or start that makes no progress.
	backgroundBound = 6 * time.Second
	searchesPerStep = 10
	lingerTime      = 3500 * time.Millisecond
	lingerPause     = 150 * time.Millisecond
	fewestRunning   = 3 // instances that are not killed
)

// system is a fleet and the faults that are on. Draws depend only on fields
// that don't depend on the timing of the run.
type system struct {
	rt       *rapid.T
	fleet    *fleet.Fleet
	workload *fleet.Workload
	watch    *bundleWatch
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup         // restarts and repartitions in progress
	moving   map[string]*sync.Mutex // by service; held during a repartition

	killed      map[int]bool
	partitioned bool
	unreadable  bool // the configuration service is down or stale for everybody
	split       bool
	sent        int // submissions

	mu    sync.Mutex
	notes []string // guarded by mu; what happened, for the report of a failure
}

func newSystem(rt *rapid.T, f *fleet.Fleet, seed uint64) *system {
	s := &system{
		rt: rt, fleet: f, workload: fleet.NewWorkload(f.Spec(), seed, "faults"),
		killed: map[int]bool{}, moving: map[string]*sync.Mutex{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.watch = watchBundles(s.ctx, f)
	for _, service := range f.Spec().Services {
		s.moving[service.Name] = &sync.Mutex{}
	}
	for _, server := range f.Deployment.Servers {
		server.SetCrash(true, 300*time.Millisecond)
	}
	return s
}

func (s *system) stop() {
	s.cancel()
	s.tasks.Wait()
}

// step sends requests, begins faults while they are in progress and waits for
// all replies.
func (s *system) step(faults []string) {
	s.note("step %v", faults)
	var requests sync.WaitGroup
	s.sendSearches(&requests)
	s.sendSubmissions(&requests)
	time.Sleep(faultDelay)
	for _, name := range faults {
		faultsByName[name](s)
	}
	s.sendSearches(&requests)
	requests.Wait()
}

// linger goes on sending under the faults that are on, for longer than a
// drain's grace and the time in which a bundle takes effect.
func (s *system) linger() {
	s.note("linger")
	until := time.Now().Add(lingerTime)
	for time.Now().Before(until) {
		var requests sync.WaitGroup
		s.sendSearches(&requests)
		s.sendSubmissions(&requests)
		requests.Wait()
		time.Sleep(lingerPause)
	}
}

// check reports every invariant that is broken so far.
func (s *system) check() {
	s.rt.Helper()
	time.Sleep(settleTime)
	s.fleet.Audit.Finish()
	problems := s.watch.problems()
	for _, problem := range s.fleet.Audit.Problems() {
		problems = append(problems, problem.String())
	}
	if len(problems) > 0 {
		s.rt.Fatalf("invariants broken:\n%s\nevents:\n%s", strings.Join(problems, "\n"), s.history())
	}
}

func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *system) history() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.notes, "\n")
}

// background runs a task beside the further steps.
func (s *system) background(task func(ctx context.Context)) {
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundBound)
		defer cancel()
		task(ctx)
	})
}

// server draws a backend server.
func (s *system) server() *standin.BackendServer {
	services := s.fleet.Spec().Services
	service := rapid.SampledFrom(services).Draw(s.rt, "service")
	return rapid.SampledFrom(s.fleet.Deployment.ServersOf(service.Name)).Draw(s.rt, "server")
}

// someServers draws every third backend server of a service.
func (s *system) someServers() []*standin.BackendServer {
	service := rapid.SampledFrom(s.fleet.Spec().Services).Draw(s.rt, "service")
	first := rapid.IntRange(0, 2).Draw(s.rt, "first")
	var servers []*standin.BackendServer
	for i, server := range s.fleet.Deployment.ServersOf(service.Name) {
		if i%3 == first {
			servers = append(servers, server)
		}
	}
	return servers
}

func (s *system) instance() int {
	return rapid.IntRange(0, s.fleet.Size()-1).Draw(s.rt, "instance")
}
