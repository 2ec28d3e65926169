package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seedCount = flag.Uint64("seeds", 2, "number of seeds")
	seconds   = flag.Float64("seconds", 5, "time with faults for each seed")
	keepLogs  = flag.String("logs", "", "folder that keeps the logs of failed seeds")
)

// The deployment of the soak.
const (
	host           = "h.example"
	shardCount     = 8
	requiredShards = 6
	top            = 5
	recovery       = 12 * time.Second // the platform's bound
)

var zones = []string{"z1", "z2", "z3"}

// regressions are seeds that have failed, with their cause. They run with the first
// seeds.
var regressions = []uint64{
	933, // SIGHUP within milliseconds of the start of a process ended it for good
}

// system is a whole deployment of processes.
type system struct {
	binary    string
	store     *platformtest.Store
	servers   []*platformtest.Server
	addresses []string // of the servers, through their proxies
	proxies   []*proxy
	processes []*process

	background sync.WaitGroup
	mu         sync.Mutex
	version    int
	evacuated  map[string]bool   // by zone
	era        int               // of the store
	busy       map[*process]bool // being restarted
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "sycamorelift-relay")
	out, err := exec.Command("go", "build", "-o", file, "github.com/sycamorelift/sycamorelift/cmd/sycamorelift-relay").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return file, nil
})

func shards() []string {
	var names []string
	for n := range shardCount {
		names = append(names, fmt.Sprintf("s%d", n))
	}
	return names
}

func newSystem(t *testing.T) *system {
	file, err := binary()
	assert.NilError(t, err)
	s := &system{binary: file, store: platformtest.NewStore(10), busy: map[*process]bool{}, evacuated: map[string]bool{}}
	t.Cleanup(s.store.Close)
	for n, service := range append(shards(), "one") {
		// Each service has servers in two of the three zones.
		for _, zone := range []string{zones[n%len(zones)], zones[(n+1)%len(zones)]} {
			server := platformtest.NewServer(service+"-"+zone, service, zone)
			t.Cleanup(server.Close)
			s.servers = append(s.servers, server)
			s.addresses = append(s.addresses, s.proxy(t, server.Address()))
			s.list(len(s.servers)-1, "ready")
		}
	}
	s.nextEra()
	s.publish()
	s.startProcesses(t, 2, func(string) string { return s.proxy(t, s.store.Address()) })
	return s
}

// startProcesses starts processes in each zone. StoreOf returns the address at which a
// process reaches the store.
func (s *system) startProcesses(t *testing.T, perZone int, storeOf func(id string) string) {
	dir := t.TempDir()
	var seeds []string
	for _, zone := range zones {
		for n := range perZone {
			id := fmt.Sprintf("%s-%d", zone, n)
			p := newProcess(dir, id, zone, storeOf(id), len(s.processes))
			s.processes = append(s.processes, p)
			seeds = append(seeds, fmt.Sprintf("%q", p.peer))
		}
	}
	for _, p := range s.processes {
		p.writeSettings(t, strings.Join(seeds[:3], ", "))
		assert.NilError(t, p.start(s.binary))
	}
	t.Cleanup(func() {
		for _, p := range s.processes {
			p.kill()
		}
		s.keepLogs(t)
	})
}

func (s *system) proxy(t *testing.T, target string) string {
	p, err := newProxy(target)
	assert.NilError(t, err)
	t.Cleanup(p.close)
	s.proxies = append(s.proxies, p)
	return p.address()
}

func (s *system) list(n int, state string) {
	server := s.servers[n]
	s.store.Write(platformtest.PrefixServers+server.ID, server.Entry(s.addresses[n], state))
}

func (s *system) publish() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	s.store.Write(platformtest.KeyTable, platformtest.Table(version, host, shards(), "one", top, float64(requiredShards)/shardCount))
}

// restart ends a process and starts it again, unless that is being done.
func (s *system) restart(p *process, end func(*process)) {
	s.mu.Lock()
	busy := s.busy[p]
	s.busy[p] = true
	s.mu.Unlock()
	if busy {
		return
	}
	end(p)
	err := p.start(s.binary)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[p] = false
	if err != nil {
		p.ends = append(p.ends, err.Error())
	}
}

func (p *process) ready() bool {
	response, err := http.Get("http://" + p.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *system) awaitReady(t *testing.T) {
	deadline := time.Now().Add(recovery)
	for _, p := range s.processes {
		for !p.ready() {
			assert.Assert(t, time.Now().Before(deadline), "%s is not ready; it ended by itself: %v", p.id, p.unexpectedEnds())
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (s *system) keepLogs(t *testing.T) {
	if !t.Failed() || *keepLogs == "" {
		return
	}
	for _, p := range s.processes {
		data, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(*keepLogs, strings.ReplaceAll(t.Name(), "/", "-")+"-"+p.id+".log"), data, 0o600)
		}
		if err != nil {
			t.Log("log not kept:", err)
		}
	}
}

// Guards against broken promises under faults that come in series and overlap.
func TestSoak(t *testing.T) {
	for n := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+n), func(t *testing.T) { soak(t, *firstSeed+n, slices.Concat(faults, operatorFaults)) })
	}
	for _, seed := range regressions {
		t.Run(fmt.Sprint("regression-", seed), func(t *testing.T) { soak(t, seed, faults) })
	}
}

func soak(t *testing.T, seed uint64, faults []fault) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSystem(t)
	s.awaitReady(t)
	c := newCallers(shards(), requiredShards)
	// Callers of a seed that failed must not load the processes of the next one, which have
	// the same addresses.
	t.Cleanup(c.end)
	for _, p := range s.processes {
		for range 2 {
			c.send(p.id, p.caller, rand.New(rand.NewPCG(random.Uint64(), 0)))
		}
	}
	history := s.injectFaults(random, faults, time.Now().Add(time.Duration(*seconds*float64(time.Second))))
	s.awaitReady(t)
	s.awaitComplete(t, c)
	problems, answers := c.finish(s.servers)
	problems = append(problems, judgeLoad(s.servers, answers)...)
	for _, p := range s.processes {
		for _, end := range p.unexpectedEnds() {
			problems = append(problems, fmt.Sprintf("process %s ended by itself: %s", p.id, end))
		}
	}
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d faults, %d requests, %d served", len(history), len(answers), served)
	assert.Assert(t, 4*served > len(answers), "%d of %d served", served, len(answers))
	if len(problems) > 0 {
		t.Fatalf("%s\nfaults:\n%s", strings.Join(problems[:min(len(problems), 20)], "\n"), strings.Join(history, "\n"))
	}
}

// awaitComplete checks that every instance answers in full again after the faults.
func (s *system) awaitComplete(t *testing.T, c *callers) {
	deadline := time.Now().Add(recovery)
	for _, p := range s.processes {
		for n := 0; ; n++ {
			a := c.ask(p.id, p.caller, "/all/x", fmt.Sprintf("end-%s-%d", p.id, n), patience)
			if a.status == http.StatusOK && a.missing == 0 {
				break
			}
			assert.Assert(t, time.Now().Before(deadline), "%s answers %+v long after the faults", p.id, a)
			time.Sleep(50 * time.Millisecond)
		}
	}
}
