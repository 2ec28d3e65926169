package entry

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"gotest.tools/v3/assert"
)

// inBubble runs a test against a fresh world in virtual time.
func inBubble(t *testing.T, run func(t *testing.T, w *world), faults ...fault) {
	synctest.Test(t, func(t *testing.T) { run(t, newWorld(1, faults...)) })
}

// sequence runs queries one after the other and returns the number of attempts
// beyond the first one of each shard.
func (w *world) sequence(t *testing.T, e *Entry, queries int) (extra int) {
	for n := range queries {
		id := fmt.Sprint("s", n)
		answer, err := w.search(e, id, "query")
		assert.NilError(t, w.judge(id, 0, answer, err))
		extra += len(w.asked[id]) - worldShards
	}
	return extra
}

// Guards against hedges and retries beyond their budgets, which would multiply
// the load of a fault.
func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	const queries = 150
	const first = queries * worldShards
	for name, c := range map[string]struct {
		options  Options
		fault    fault
		min, max int
	}{
		"hedges":  {Options{DisableRetries: true}, slow, first / 40, first / 20},
		"retries": {Options{DisableHedging: true}, "INVALID_REPLY", first / 15, first/10 + 20},
		"none":    {Options{DisableHedging: true, DisableRetries: true}, "INVALID_REPLY", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				w.publish(0, 0.05, 2)
				e := w.entry("i0")
				e.config.Options = c.options
				extra := w.sequence(t, e, queries)
				assert.Assert(t, extra >= c.min && extra <= c.max, "%d extra attempts for %d first ones", extra, first)
			}, c.fault, right, right, right)
		})
	}
}

// Guards against hedges that are not sent, and against losers and streams of
// passed over owners that go on while the query waits for another shard.
func TestLosersAreCancelledAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.publish(0, 1, 2)
		e := w.entry("i0")
		w.sequence(t, e, 40) // the selector learns the usual latency
		w.script = func(a *askedAttempt) fault {
			if a.Shard == 1 || a.Attempt <= worldShards {
				return silent // shard 1 holds the query, the others need a hedge
			}
			return right
		}
		w.pauses["i2"] = true
		for n := range 4 {
			id := fmt.Sprint("h", n)
			done := make(chan error, 1)
			go func() {
				answer, err := w.search(e, id, "query")
				done <- w.judge(id, 0, answer, err)
			}()
			time.Sleep(250 * time.Millisecond)
			w.mu.Lock()
			assert.Assert(t, len(w.asked[id]) >= 2*worldShards, "hedges are missing")
			for _, stream := range w.open {
				useful := slices.ContainsFunc(stream, func(a *askedAttempt) bool { return a.Shard == 1 })
				assert.Assert(t, useful && stream[0].owner != "i2", "stream of attempt %d is open", stream[0].Attempt)
			}
			w.mu.Unlock()
			assert.NilError(t, <-done)
		}
	})
}

// Guards against a paused owner that holds queries until their deadline: after
// the acknowledgement is overdue, the next rank is asked for the same servers.
func TestOwnerWithoutAcknowledgementIsPassedOver(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.publish(1, 0, 2)
		e := w.entry("i0")
		servers := w.members().BackendServers
		owners := w.views["i0"].Owners(servers[0].ID, time.Now())
		w.pauses[owners[0].ID] = true
		answer, err := w.search(e, "r", "query")
		assert.NilError(t, w.judge("r", 1, answer, err))
		moved := 0
		ranks := map[string]int{}
		for _, a := range w.asked["r"] {
			ranks[a.BackendServerId]++
			owner := w.views["i0"].Owners(a.BackendServerId, time.Now())[ranks[a.BackendServerId]-1]
			assert.Equal(t, a.owner, owner.ID)
			if ranks[a.BackendServerId] == 2 {
				moved++
				assert.Equal(t, w.pauses[a.owner], false)
			}
		}
		assert.Assert(t, moved > 0)
		assert.Equal(t, len(w.asked["r"]), worldShards+moved)
	})
}

// Guards against a query that waits for a canary that nobody can answer: its
// shard no longer serves the snapshot and there is none to restart on.
func TestCanaryWithoutSnapshotReleasesQuery(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.canary = 400 * time.Millisecond
		w.publish(0, 0, 2)
		e := w.entry("i0")
		shard := e.config.Guard.CanaryShard(crashguard.Fingerprint("team", "service", "query"), []int{0, 1, 2, 3, 4})
		for replica := range worldReplicas {
			w.serves[fmt.Sprintf("b%d-%d", shard, replica)] = []int64{0}
		}
		began := time.Now()
		answer, err := w.search(e, "r", "query")
		assert.NilError(t, w.judge("r", 0, answer, err))
		assert.Equal(t, len(answer.Coverage.Missing), 1)
		assert.Assert(t, time.Since(began) < w.canary, "virtual time")
	})
}

// Guards against a hedge of the canary that lets one request crash more backend
// servers at once than its limit.
func TestCanaryIsNotHedgedBeyondCrashLimit(t *testing.T) {
	for limit := 1; limit <= 2; limit++ {
		inBubble(t, func(t *testing.T, w *world) {
			w.publish(0, 1, limit)
			w.canary = 300 * time.Millisecond
			e := w.entry("i0")
			w.sequence(t, e, 20)
			w.publish(0, 1, limit)
			w.script = func(*askedAttempt) fault { return silent }
			_, _ = w.search(e, "r", "new query")
			asked := map[string]bool{}
			for _, a := range w.asked["r"] {
				if a.Canary {
					asked[a.BackendServerId] = true
				}
			}
			assert.Equal(t, len(asked), limit)
		})
	}
}
