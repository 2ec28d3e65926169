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

// TestMain fixes the seed of the generators, so that every run checks the same
// cases.
func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 400, Steps: 100}) }

const (
	testZones       = 3
	testShards      = 6
	testLimit       = 2
	crashingRequest = uint64(99)
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testCluster is a set of backend servers with one owner per zone and the attempts
// in flight.
type testCluster struct {
	now            time.Time
	guards         [testZones]*Guard
	servers        []membership.BackendServer
	up             map[string]bool
	running        map[string][]uint64 // harmless requests in flight, by server id
	pendingReports []func()            // deliveries of reports not yet made
	oracle         crashOracle
}

func newTestCluster() *testCluster {
	c := &testCluster{now: testStart, up: make(map[string]bool), running: make(map[string][]uint64)}
	c.oracle.unexplained = make(map[uint64]int)
	for zone := range c.guards {
		c.guards[zone] = New()
		c.guards[zone].OnReport(func(r Report) {
			c.pendingReports = append(c.pendingReports, func() {
				for other, guard := range c.guards {
					if other == zone {
						continue
					}
					if r.Succeeded {
						guard.MergeSuccess(r.Fingerprint, r.Observed)
					} else {
						guard.MergeReport(r.Fingerprint, r.ServerID, r.Zone, r.Observed)
					}
				}
			})
		})
		for shard := range testShards {
			id := fmt.Sprintf("s%d-%d", shard, zone)
			c.servers = append(c.servers, membership.BackendServer{
				ID: id, Shard: shard, Zone: fmt.Sprint(zone), Rack: fmt.Sprintf("%d-%d", zone, shard%2),
			})
			c.up[id] = true
		}
	}
	return c
}

func (c *testCluster) guard(s membership.BackendServer) *Guard { return c.guards[s.Zone[0]-'0'] }

func (c *testCluster) replicas(shard int) []membership.BackendServer {
	var out []membership.BackendServer
	for _, s := range c.servers {
		if s.Shard == shard {
			out = append(out, s)
		}
	}
	return out
}

func (c *testCluster) deliverReports() {
	for _, report := range c.pendingReports {
		report()
	}
	c.pendingReports = nil
}

// loseServer crashes a server, which ends every attempt on it. If the server is
// idle, its owner finds it unreachable.
func (c *testCluster) loseServer(s membership.BackendServer, cause uint64) {
	ended := c.running[s.ID]
	if cause == crashingRequest {
		ended = append(ended, crashingRequest)
	}
	c.up[s.ID] = false
	c.running[s.ID] = nil
	c.oracle.recordLoss(s, c.now, ended)
	for _, fingerprint := range ended {
		c.guard(s).End(fingerprint, s.ID, OutcomeCrashed, c.now)
	}
	if len(ended) == 0 {
		c.guard(s).RecordLoss(s, c.now)
	}
}

func (c *testCluster) drawRunningServer(t *rapid.T) membership.BackendServer {
	s := rapid.SampledFrom(c.servers).Draw(t, "server")
	if !c.up[s.ID] {
		t.Skip("server is down")
	}
	return s
}

func (c *testCluster) sendHarmless(t *rapid.T) {
	s := c.drawRunningServer(t)
	fingerprint := rapid.Uint64Range(1, 4).Draw(t, "fingerprint")
	err := c.guard(s).Admit(fingerprint, testLimit, c.now)
	var refused *QuarantinedError
	if errors.As(err, &refused) {
		if !refused.Provisional && c.oracle.unexplained[fingerprint] < testLimit {
			t.Fatalf("harmless request quarantined after %d crashes that no correlated loss explains: %v", c.oracle.unexplained[fingerprint], err)
		}
		return
	}
	c.guard(s).Begin(fingerprint, s, c.now)
	c.running[s.ID] = append(c.running[s.ID], fingerprint)
}

func (c *testCluster) finishHarmless(t *rapid.T) {
	s := c.drawRunningServer(t)
	for _, fingerprint := range c.running[s.ID] {
		c.guard(s).End(fingerprint, s.ID, OutcomeOK, c.now)
	}
	c.running[s.ID] = nil
}

// sendCrashing sends the crashing request as an entry instance does, to one of
// the first two replicas of its canary shard.
func (c *testCluster) sendCrashing(t *rapid.T) {
	shard := c.guards[0].CanaryShard(crashingRequest, []int{0, 1, 2, 3, 4, 5})
	s := rapid.SampledFrom(c.guards[0].CanaryReplicas(crashingRequest, c.replicas(shard))[:2]).Draw(t, "replica")
	if !c.up[s.ID] || c.guard(s).Admit(crashingRequest, testLimit, c.now) != nil {
		return
	}
	if crashes, servers := c.oracle.independentCrashes(); crashes >= testLimit && servers > 1 || crashes >= singleDomainFactor*testLimit {
		t.Fatalf("crashing request admitted after %d independent crashes of %d servers", crashes, servers)
	}
	c.guard(s).Begin(crashingRequest, s, c.now)
	c.loseServer(s, crashingRequest)
}

// crashServer crashes a server for an external cause that no other loss explains,
// so that every request in flight on it may become a suspect.
func (c *testCluster) crashServer(t *rapid.T) {
	s := c.drawRunningServer(t)
	for _, fingerprint := range c.running[s.ID] {
		c.oracle.unexplained[fingerprint]++
	}
	c.loseServer(s, 0)
}

// loseRackOrZone loses the servers of a rack or zone one after another, 80 ms
// apart.
func (c *testCluster) loseRackOrZone(t *rapid.T) {
	group := rapid.SampledFrom([]string{"0", "1", "2", "0-0", "0-1", "1-0", "2-1"}).Draw(t, "group")
	interrupted := make(map[uint64]int)
	lostServers := 0
	for _, s := range c.servers {
		if !c.up[s.ID] || s.Zone != group && s.Rack != group {
			continue
		}
		for _, fingerprint := range c.running[s.ID] {
			interrupted[fingerprint]++
		}
		lostServers++
		c.loseServer(s, 0)
		c.now = c.now.Add(80 * time.Millisecond)
	}
	for fingerprint, n := range interrupted {
		if n >= lostServers { // was in flight on every lost server, so it may be the cause
			c.oracle.unexplained[fingerprint]++
		}
	}
}

func (c *testCluster) restart(t *rapid.T) {
	s := rapid.SampledFrom(c.servers).Draw(t, "server")
	if c.up[s.ID] {
		t.Skip("server is up")
	}
	c.up[s.ID] = true
	c.guard(s).RecordReply(s.ID)
}

// Guards against a crashing request that takes down one server after another, and
// against a quarantine of harmless requests that the loss of a rack or zone
// interrupts.
func TestCrashesAreBoundedAndHarmlessRequestsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster()
		t.Repeat(map[string]func(*rapid.T){
			"send":            c.sendHarmless,
			"send2":           c.sendHarmless,
			"finish":          c.finishHarmless,
			"requestCrashing": c.sendCrashing,
			"crash":           c.crashServer,
			"group":           c.loseRackOrZone,
			"restart":         c.restart,
			"wait": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { c.deliverReports() },
		})
	})
}
