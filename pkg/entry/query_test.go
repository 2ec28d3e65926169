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

// scenario is one drawn run: some queries at once with some faults.
type scenario struct {
	seed        uint64
	faults      []fault
	minCoverage float64
	canary      time.Duration // 0 is off
	queries     int
	changes     bool // of the index, while the queries run
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		seed:        rapid.Uint64().Draw(t, "seed"),
		faults:      rapid.SliceOfNDistinct(rapid.SampledFrom(allFaults), 1, 4, rapid.ID).Draw(t, "faults"),
		minCoverage: rapid.SampledFrom([]float64{0, 0.5, 0.9, 1}).Draw(t, "min coverage"),
		canary:      rapid.SampledFrom([]time.Duration{0, 0, 30 * time.Millisecond}).Draw(t, "canary"),
		queries:     rapid.IntRange(1, 4).Draw(t, "queries"),
	}
	// The share of right replies is drawn as well.
	good := rapid.SampledFrom([]int{0, 1, 4, 10}).Draw(t, "right per fault")
	s.faults = append(s.faults, slices.Repeat([]fault{right}, good*len(s.faults))...)
	return s
}

// run returns the first wrong outcome.
func (s scenario) run() (wrong error) {
	w := newWorld(s.seed, s.faults...)
	w.canary = s.canary
	w.publish(s.minCoverage, 1, 2)
	e := w.entry("i0")
	if s.changes {
		go w.changeIndex()
	}
	results := make(chan error, s.queries)
	for n := range s.queries {
		go func() {
			time.Sleep(time.Duration(w.hash("start", n)%200) * time.Millisecond)
			id := fmt.Sprint("r", n)
			w.update(func() { w.begins[id] = time.Now() })
			answer, err := w.search(e, id, fmt.Sprint("query ", n))
			w.update(func() { w.ends[id] = time.Now() })
			if wrong := w.judge(id, s.minCoverage, answer, err); wrong != nil {
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
		wrong = w.judgeEnds()
	}
	return wrong
}

// changeIndex loads the next version on each backend server and drops the
// previous one, each at its own time; the manifest follows late.
func (w *world) changeIndex() {
	for version := int64(2); version <= 3; version++ {
		for _, server := range w.members().BackendServers {
			time.Sleep(time.Duration(w.hash("load", server.ID, version)%12) * time.Millisecond)
			w.update(func() { w.serves[server.ID] = []int64{version - 1, version} })
		}
		time.Sleep(time.Duration(w.hash("manifest", version)%40) * time.Millisecond)
		w.RefreshManifest(context.Background(), "", "")
		for _, server := range w.members().BackendServers {
			time.Sleep(time.Duration(w.hash("drop", server.ID, version)%12) * time.Millisecond)
			w.update(func() { w.serves[server.ID] = []int64{version} })
		}
		if w.hash("late", version)%2 == 0 {
			w.RefreshManifest(context.Background(), "", "")
		}
	}
}

func checkScenarios(t *testing.T, change func(*scenario)) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		change(&s)
		var wrong error
		synctest.Test(t, func(*testing.T) { wrong = s.run() })
		if wrong != nil {
			rt.Fatalf("%v", wrong)
		}
	})
}

// Guards against answers that mix snapshots, lose or repeat hits, overstate
// coverage or hide a missing range, against false "not run" statements, and
// against attempts without bound, whatever owners and backend servers do.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	checkScenarios(t, func(*scenario) {})
}

// Guards against the same while versions of the index and its partitions
// change, so that queries restart on another snapshot.
func TestOutcomesAreTrueWhileIndexChanges(t *testing.T) {
	checkScenarios(t, func(s *scenario) { s.changes = true })
}

// Guards against books that count a repeated refusal twice: the query would
// then say "not run" while another attempt is running.
func TestRepeatedRefusalCountsOnce(t *testing.T) {
	for seed := range uint64(120) {
		var wrong error
		synctest.Test(t, func(*testing.T) {
			wrong = scenario{seed: seed, faults: []fault{duplicate}, minCoverage: 1, canary: 50 * time.Millisecond, queries: 2}.run()
		})
		assert.NilError(t, wrong)
	}
}
