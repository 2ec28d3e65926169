package crashguard

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// TestMain fixes the seed of the generators, so that every run checks the same.
func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 400, Steps: 100}) }

const (
	testZones  = 3
	testShards = 6
	testLimit  = 2
	poison     = uint64(99)
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is the backend servers, one owner per zone, and the attempts in flight.
type world struct {
	now     time.Time
	guards  [testZones]*Guard
	servers []membership.BackendServer
	up      map[string]bool
	running map[string][]uint64 // innocent requests by server id
	pending []func()            // reports under way
	oracle  worldOracle
}

func newWorld() *world {
	w := &world{now: epoch, up: make(map[string]bool), running: make(map[string][]uint64)}
	w.oracle.blamed = make(map[uint64]int)
	for zone := range w.guards {
		w.guards[zone] = New()
		w.guards[zone].OnReport(func(r Report) {
			w.pending = append(w.pending, func() {
				for other, guard := range w.guards {
					if other == zone {
						continue
					}
					if r.Succeeded {
						guard.LearnGood(r.Fingerprint, r.Observed)
					} else {
						guard.Learn(r.Fingerprint, r.ServerID, r.Zone, r.Observed)
					}
				}
			})
		})
		for shard := range testShards {
			id := fmt.Sprintf("s%d-%d", shard, zone)
			w.servers = append(w.servers, membership.BackendServer{
				ID: id, Shard: shard, Zone: fmt.Sprint(zone), Rack: fmt.Sprintf("%d-%d", zone, shard%2),
			})
			w.up[id] = true
		}
	}
	return w
}

func (w *world) guard(s membership.BackendServer) *Guard { return w.guards[s.Zone[0]-'0'] }

func (w *world) replicas(shard int) []membership.BackendServer {
	var out []membership.BackendServer
	for _, s := range w.servers {
		if s.Shard == shard {
			out = append(out, s)
		}
	}
	return out
}

func (w *world) deliver() {
	for _, report := range w.pending {
		report()
	}
	w.pending = nil
}

// crash ends every attempt on a server. An idle server is found unreachable.
func (w *world) crash(s membership.BackendServer, cause uint64) {
	ended := w.running[s.ID]
	if cause == poison {
		ended = append(ended, poison)
	}
	w.up[s.ID] = false
	w.running[s.ID] = nil
	w.oracle.lost(s, w.now, ended)
	for _, fingerprint := range ended {
		w.guard(s).End(fingerprint, s.ID, OutcomeCrashed, w.now)
	}
	if len(ended) == 0 {
		w.guard(s).Lost(s, w.now)
	}
}

func (w *world) drawUp(t *rapid.T) membership.BackendServer {
	s := rapid.SampledFrom(w.servers).Draw(t, "server")
	if !w.up[s.ID] {
		t.Skip("server is down")
	}
	return s
}

func (w *world) sendInnocent(t *rapid.T) {
	s := w.drawUp(t)
	fingerprint := rapid.Uint64Range(1, 4).Draw(t, "fingerprint")
	err := w.guard(s).Admit(fingerprint, testLimit, w.now)
	var refused *QuarantinedError
	if errors.As(err, &refused) {
		if !refused.Provisional && w.oracle.blamed[fingerprint] < testLimit {
			t.Fatalf("innocent request quarantined, independent crashes %d: %v", w.oracle.blamed[fingerprint], err)
		}
		return
	}
	w.guard(s).Begin(fingerprint, s, w.now)
	w.running[s.ID] = append(w.running[s.ID], fingerprint)
}

func (w *world) finishInnocent(t *rapid.T) {
	s := w.drawUp(t)
	for _, fingerprint := range w.running[s.ID] {
		w.guard(s).End(fingerprint, s.ID, OutcomeOK, w.now)
	}
	w.running[s.ID] = nil
}

// sendPoison sends the poison request as an entry instance does, to one of the
// first two replicas of its canary shard.
func (w *world) sendPoison(t *rapid.T) {
	shard := w.guards[0].CanaryShard(poison, []int{0, 1, 2, 3, 4, 5})
	s := rapid.SampledFrom(w.guards[0].CanaryReplicas(poison, w.replicas(shard))[:2]).Draw(t, "replica")
	if !w.up[s.ID] || w.guard(s).Admit(poison, testLimit, w.now) != nil {
		return
	}
	if crashes, servers := w.oracle.poisonCrashes(); crashes >= testLimit && servers > 1 || crashes >= singleDomainFactor*testLimit {
		t.Fatalf("poison request admitted after %d crashes of %d servers", crashes, servers)
	}
	w.guard(s).Begin(poison, s, w.now)
	w.crash(s, poison)
}

func (w *world) crashOne(t *rapid.T) {
	s := w.drawUp(t)
	for _, fingerprint := range w.running[s.ID] {
		w.oracle.blamed[fingerprint]++
	}
	w.crash(s, 0)
}

// loseGroup loses a rack or zone server by server within half a second.
func (w *world) loseGroup(t *rapid.T) {
	group := rapid.SampledFrom([]string{"0", "1", "2", "0-0", "0-1", "1-0", "2-1"}).Draw(t, "group")
	runs := make(map[uint64]int)
	lost := 0
	for _, s := range w.servers {
		if !w.up[s.ID] || s.Zone != group && s.Rack != group {
			continue
		}
		for _, fingerprint := range w.running[s.ID] {
			runs[fingerprint]++
		}
		lost++
		w.crash(s, 0)
		w.now = w.now.Add(80 * time.Millisecond)
	}
	for fingerprint, n := range runs {
		if n >= lost { // ran on every lost server: looks as if it was the cause
			w.oracle.blamed[fingerprint]++
		}
	}
}

func (w *world) restart(t *rapid.T) {
	s := rapid.SampledFrom(w.servers).Draw(t, "server")
	if w.up[s.ID] {
		t.Skip("server is up")
	}
	w.up[s.ID] = true
	w.guard(s).Alive(s.ID)
}

// Guards against a poison request that takes down server after server, and
// against quarantine of innocent requests that a rack or zone loss interrupts.
func TestPoisonIsBoundedAndInnocentIsSpared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"send":    w.sendInnocent,
			"send2":   w.sendInnocent,
			"finish":  w.finishInnocent,
			"poison":  w.sendPoison,
			"crash":   w.crashOne,
			"group":   w.loseGroup,
			"restart": w.restart,
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { w.deliver() },
		})
	})
}
