package entry

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// scenario is one generated run: several concurrent queries under some faults.
type scenario struct {
	seed         uint64
	faults       []fault
	minCoverage  float64
	canaryWait   time.Duration // longest wait for the canary; 0 disables it
	queries      int
	changesIndex bool // the index changes while the queries run
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		seed:        rapid.Uint64().Draw(t, "seed"),
		faults:      rapid.SliceOfNDistinct(rapid.SampledFrom(allFaults), 1, 4, rapid.ID).Draw(t, "faults"),
		minCoverage: rapid.SampledFrom([]float64{0, 0.5, 0.9, 1}).Draw(t, "min coverage"),
		canaryWait:  rapid.SampledFrom([]time.Duration{0, 0, 30 * time.Millisecond}).Draw(t, "canary"),
		queries:     rapid.IntRange(1, 4).Draw(t, "queries"),
	}
	// The share of replies without a fault is generated as well.
	noFaultShare := rapid.SampledFrom([]int{0, 1, 4, 10}).Draw(t, "right per fault")
	s.faults = append(s.faults, slices.Repeat([]fault{noFault}, noFaultShare*len(s.faults))...)
	return s
}

// run returns the first violation that the oracle finds, or nil.
func (s scenario) run() (wrong error) {
	c := newCluster(s.seed, s.faults...)
	c.canaryWait = s.canaryWait
	c.publishBundle(s.minCoverage, 1, 2)
	e := c.newEntry("i0")
	if s.changesIndex {
		go c.changeIndex()
	}
	results := make(chan error, s.queries)
	for n := range s.queries {
		go func() {
			time.Sleep(time.Duration(c.hash("start", n)%200) * time.Millisecond)
			id := fmt.Sprint("r", n)
			c.withLock(func() { c.startedAt[id] = time.Now() })
			answer, err := c.search(e, id, fmt.Sprint("query ", n))
			c.withLock(func() { c.endedAt[id] = time.Now() })
			if wrong := c.checkOutcome(id, s.minCoverage, answer, err); wrong != nil {
				results <- fmt.Errorf("query %s: %w", id, wrong)
				return
			}
			results <- nil
		}()
	}
	for range s.queries {
		if err := <-results; err != nil && wrong == nil {
			wrong = err
		}
	}
	time.Sleep(time.Second)
	if wrong == nil {
		wrong = c.checkEnded()
	}
	return wrong
}

// changeIndex loads each new version on the backend servers and then drops the
// previous one, at a different time on each server. The manifest follows late.
func (c *cluster) changeIndex() {
	for version := int64(2); version <= 3; version++ {
		for _, server := range c.members().BackendServers {
			time.Sleep(time.Duration(c.hash("load", server.ID, version)%12) * time.Millisecond)
			c.withLock(func() { c.servedSnapshots[server.ID] = []int64{version - 1, version} })
		}
		time.Sleep(time.Duration(c.hash("manifest", version)%40) * time.Millisecond)
		c.RefreshManifest(context.Background(), "", "")
		for _, server := range c.members().BackendServers {
			time.Sleep(time.Duration(c.hash("drop", server.ID, version)%12) * time.Millisecond)
			c.withLock(func() { c.servedSnapshots[server.ID] = []int64{version} })
		}
		if c.hash("late", version)%2 == 0 {
			c.RefreshManifest(context.Background(), "", "")
		}
	}
}

// checkScenarios runs generated scenarios after adjust has changed them.
func checkScenarios(t *testing.T, adjust func(*scenario)) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		adjust(&s)
		var wrong error
		synctest.Test(t, func(*testing.T) { wrong = s.run() })
		if wrong != nil {
			rt.Fatalf("%v", wrong)
		}
	})
}

// Guards against answers that mix snapshots, lose or repeat hits, overstate
// coverage or hide a missing range, against false "not run" statements, and
// against unbounded attempts, under any faults of owners and backend servers.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	checkScenarios(t, func(*scenario) {})
}

// Guards against the same failures while the index and its partitions change
// versions and queries restart on another snapshot.
func TestOutcomesAreTrueWhileIndexChanges(t *testing.T) {
	checkScenarios(t, func(s *scenario) { s.changesIndex = true })
}

// Guards against accounting that counts a repeated refusal twice. The query
// would then state "not run" while another attempt is in flight.
func TestRepeatedRefusalCountsOnce(t *testing.T) {
	for seed := range uint64(120) {
		var wrong error
		synctest.Test(t, func(*testing.T) {
			wrong = scenario{seed: seed, faults: []fault{duplicate}, minCoverage: 1, canaryWait: 50 * time.Millisecond, queries: 2}.run()
		})
		assert.NilError(t, wrong)
	}
}
