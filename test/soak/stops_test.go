package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

var (
	stopCount   = flag.Int("stops", 2, "number of planned stops, one process after the other")
	stopCallers = flag.Int("stopcallers", 800, "callers beside planned stops, with one connection each")
	stopWork    = flag.Duration("stopwork", 1500*time.Millisecond, "longest work of a single request beside planned stops")
	stopHangs   = flag.Int("stophangs", 0, "servers of single requests that leave them without a reply beside planned stops")
	stopPerZone = flag.Int("stopperzone", 2, "processes in each zone beside planned stops")
)

// The deployment of the planned stops: many shards, and a service for single requests.
const (
	stopShards      = 20
	singleServers   = 5
	singleService   = "profiles"
	stopPatience    = 8 * time.Second
	lossSlack       = 200 * time.Millisecond // a request may be that old when its connection closes unread
	betweenStops    = time.Second
	longestThinking = 4 * time.Second
)

func newStopSystem(t *testing.T) *system {
	file, err := binary()
	assert.NilError(t, err)
	s := &system{binary: file, store: platformtest.NewStore(500), busy: map[*process]bool{}}
	t.Cleanup(s.store.Close)
	add := func(service, zone string, work time.Duration) {
		server := platformtest.NewServer(fmt.Sprintf("%s-%d", service, len(s.servers)), service, zone)
		t.Cleanup(server.Close)
		server.SetFault(platformtest.Fault{Delay: work, Hang: work < 0})
		s.store.Write(platformtest.PrefixServers+server.ID, server.Entry(server.Address(), "ready"))
		s.servers = append(s.servers, server)
	}
	var names []string
	for n := range stopShards {
		name := fmt.Sprintf("shard%02d", n)
		names = append(names, name)
		add(name, zones[n%len(zones)], 15*time.Millisecond)
		add(name, zones[(n+1)%len(zones)], 15*time.Millisecond)
	}
	for n := range singleServers {
		work := *stopWork * time.Duration(n+1) / singleServers
		if n < *stopHangs {
			work = -1 // no reply
		}
		add(singleService, zones[n%len(zones)], work)
	}
	s.store.Write(platformtest.KeyTable, platformtest.MixedTable(host, names, singleService, top))
	s.startProcesses(t, *stopPerZone, func(string) string { return s.store.Address() })
	return s
}

// rotation is what a load balancer knows of the processes: it asks each one once a second,
// and one that misses two checks gets no new connections until it is ready again.
type rotation struct {
	mu     sync.Mutex
	misses map[*process]int
}

func (r *rotation) watch(processes []*process, stop <-chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	for _, p := range processes {
		running.Go(func() {
			for {
				ready := p.ready()
				r.mu.Lock()
				if r.misses[p]++; ready {
					r.misses[p] = 0
				}
				r.mu.Unlock()
				select {
				case <-time.After(time.Second):
				case <-stop:
					return
				}
			}
		})
	}
	return &running
}

func (r *rotation) pick(random *rand.Rand, processes []*process) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*process
	for _, p := range processes {
		if r.misses[p] < 2 {
			in = append(in, p)
		}
	}
	if len(in) == 0 {
		in = processes
	}
	return pick(random, in)
}

// Guards against requests that are cut by planned stops in series, while callers use the
// connections that they hold until the process is gone.
func TestPlannedStopsInSeries(t *testing.T) {
	s := newStopSystem(t)
	s.awaitReady(t)
	stop := make(chan struct{})
	balancer := &rotation{misses: map[*process]int{}}
	watching := balancer.watch(s.processes, stop)
	callers := make([]*keptCaller, *stopCallers)
	var running sync.WaitGroup
	for n := range callers {
		random := rand.New(rand.NewPCG(uint64(n), *firstSeed))
		callers[n] = &keptCaller{name: fmt.Sprint(n), pick: func() *process { return balancer.pick(random, s.processes) }, random: random}
		running.Go(func() { callers[n].run(stop) })
	}
	time.Sleep(3 * time.Second)
	var stops []plannedStop
	for n := range *stopCount {
		// From the last one: its zone has the fewest servers of single requests, so that most
		// requests wait for a connection there.
		p := s.processes[len(s.processes)-1-n%len(s.processes)]
		stops = append(stops, plannedStop{p.id, time.Now()})
		s.restart(p, (*process).stop)
		s.awaitReady(t)
		time.Sleep(betweenStops)
	}
	close(stop)
	running.Wait()
	watching.Wait()
	judgeStops(t, s, stops, callers)
}

type plannedStop struct {
	process string
	at      time.Time
}

// judgeStops checks each request against what the servers have seen: one that was read ends
// with a complete answer, unless its connection closed at once and no server has got it.
func judgeStops(t *testing.T, s *system, stops []plannedStop, callers []*keptCaller) {
	arrived, ran := map[string]bool{}, map[string]int{}
	for _, server := range s.servers {
		for _, a := range server.Arrivals() {
			arrived[a.RequestID] = true
		}
		for id, n := range server.Runs() {
			ran[id] += n
		}
	}
	statuses := map[int]int{}
	crossed := 0
	var problems []string
	for _, c := range callers {
		for _, a := range c.attempts {
			statuses[a.status]++
			switch {
			case a.status == 0 && (arrived[a.id] || a.ended.Sub(a.sent) > lossSlack):
				after := "no stop"
				for _, stopped := range stops {
					if stopped.process == a.process && !a.ended.Before(stopped.at) {
						after = fmt.Sprintf("sent %v after SIGTERM", a.sent.Sub(stopped.at).Round(time.Millisecond))
					}
				}
				problems = append(problems, fmt.Sprintf("%s %s to %s: no answer after %v, %s, reached a server: %t, %v",
					a.path, a.id, a.process, a.ended.Sub(a.sent).Round(time.Millisecond), after, arrived[a.id], a.err))
			case a.status == 0:
				crossed++
			case a.status == http.StatusServiceUnavailable && ran[a.id] > 0:
				problems = append(problems, fmt.Sprintf("%s %s to %s: refused as not run and ran", a.path, a.id, a.process))
			}
			if strings.HasPrefix(a.path, "/booking/") && ran[a.id] > 1 {
				problems = append(problems, fmt.Sprintf("%s %s ran %d times", a.path, a.id, ran[a.id]))
			}
		}
	}
	t.Logf("%d stops, answers by status %v, %d crossed the close of a connection", len(stops), statuses, crossed)
	if len(problems) > 0 {
		t.Errorf("%d requests:\n%s", len(problems), strings.Join(problems[:min(len(problems), 20)], "\n"))
	}
}
