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

// inBubble runs a test on a new cluster in a synctest bubble, in virtual time.
func inBubble(t *testing.T, test func(t *testing.T, c *cluster), faults ...fault) {
	synctest.Test(t, func(t *testing.T) { test(t, newCluster(1, faults...)) })
}

// runSequence runs queries one after the other and returns the number of
// attempts beyond the first one for each shard.
func (c *cluster) runSequence(t *testing.T, e *Entry, queries int) (extraAttempts int) {
	for n := range queries {
		id := fmt.Sprint("s", n)
		answer, err := c.search(e, id, "query")
		assert.NilError(t, c.checkOutcome(id, 0, answer, err))
		extraAttempts += len(c.received[id]) - numShards
	}
	return extraAttempts
}

// Guards against hedges and retries beyond their budgets, which would multiply
// the load during a fault.
func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	const queries = 150
	const first = queries * numShards
	for name, testCase := range map[string]struct {
		options  Options
		fault    fault
		min, max int
	}{
		"hedges":  {Options{DisableRetries: true}, slow, first / 40, first / 20},
		"retries": {Options{DisableHedging: true}, "INVALID_REPLY", first / 15, first/10 + 20},
		"none":    {Options{DisableHedging: true, DisableRetries: true}, "INVALID_REPLY", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, c *cluster) {
				c.publishBundle(0, 0.05, 2)
				e := c.newEntry("i0")
				e.config.Options = testCase.options
				extraAttempts := c.runSequence(t, e, queries)
				assert.Assert(t, extraAttempts >= testCase.min && extraAttempts <= testCase.max, "%d extra attempts for %d first ones", extraAttempts, first)
			}, testCase.fault, noFault, noFault, noFault)
		})
	}
}

// Guards against missing hedges, and against superseded attempts and streams of
// unresponsive owners that stay open while the query waits for another shard.
func TestLosersAreCancelledAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.publishBundle(0, 1, 2)
		e := c.newEntry("i0")
		c.runSequence(t, e, 40) // fills the latency estimate of the selector
		c.faultFor = func(a *receivedAttempt) fault {
			if a.Shard == 1 || a.Attempt <= numShards {
				return silent // shard 1 never answers, the other shards need a hedge
			}
			return noFault
		}
		c.pausedOwners["i2"] = true
		for n := range 4 {
			id := fmt.Sprint("h", n)
			done := make(chan error, 1)
			go func() {
				answer, err := c.search(e, id, "query")
				done <- c.checkOutcome(id, 0, answer, err)
			}()
			time.Sleep(250 * time.Millisecond)
			c.mu.Lock()
			assert.Assert(t, len(c.received[id]) >= 2*numShards, "hedges are missing")
			for _, stream := range c.openStreams {
				useful := slices.ContainsFunc(stream, func(a *receivedAttempt) bool { return a.Shard == 1 })
				assert.Assert(t, useful && stream[0].owner != "i2", "stream of attempt %d is open", stream[0].Attempt)
			}
			c.mu.Unlock()
			assert.NilError(t, <-done)
		}
	})
}

// Guards against a paused owner that delays queries until their deadline. Once
// its acknowledgement is overdue, the owner of the next rank is asked for the
// same backend servers.
func TestOwnerWithoutAcknowledgementIsPassedOver(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.publishBundle(1, 0, 2)
		e := c.newEntry("i0")
		servers := c.members().BackendServers
		owners := c.views["i0"].Owners(servers[0].ID, time.Now())
		c.pausedOwners[owners[0].ID] = true
		answer, err := c.search(e, "r", "query")
		assert.NilError(t, c.checkOutcome("r", 1, answer, err))
		moved := 0
		ranks := map[string]int{}
		for _, a := range c.received["r"] {
			ranks[a.BackendServerId]++
			owner := c.views["i0"].Owners(a.BackendServerId, time.Now())[ranks[a.BackendServerId]-1]
			assert.Equal(t, a.owner, owner.ID)
			if ranks[a.BackendServerId] == 2 {
				moved++
				assert.Equal(t, c.pausedOwners[a.owner], false)
			}
		}
		assert.Assert(t, moved > 0)
		assert.Equal(t, len(c.received["r"]), numShards+moved)
	})
}

// Guards against a query that keeps waiting for its canary although the
// canary's shard no longer serves the snapshot and there is no other snapshot to
// restart on.
func TestCanaryWithoutSnapshotReleasesQuery(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.canaryWait = 400 * time.Millisecond
		c.publishBundle(0, 0, 2)
		e := c.newEntry("i0")
		shard := e.config.Guard.CanaryShard(crashguard.Fingerprint("team", "service", "query"), []int{0, 1, 2, 3, 4})
		for replica := range numReplicas {
			c.servedSnapshots[fmt.Sprintf("b%d-%d", shard, replica)] = []int64{0}
		}
		began := time.Now()
		answer, err := c.search(e, "r", "query")
		assert.NilError(t, c.checkOutcome("r", 0, answer, err))
		assert.Equal(t, len(answer.Coverage.Missing), 1)
		assert.Assert(t, time.Since(began) < c.canaryWait, "virtual time")
	})
}

// Guards against canary hedges by which one request crashes more backend servers
// at once than its crash limit.
func TestCanaryIsNotHedgedBeyondCrashLimit(t *testing.T) {
	for limit := 1; limit <= 2; limit++ {
		inBubble(t, func(t *testing.T, c *cluster) {
			c.publishBundle(0, 1, limit)
			c.canaryWait = 300 * time.Millisecond
			e := c.newEntry("i0")
			c.runSequence(t, e, 20)
			c.publishBundle(0, 1, limit)
			c.faultFor = func(*receivedAttempt) fault { return silent }
			_, _ = c.search(e, "r", "new query")
			canaryServers := map[string]bool{}
			for _, a := range c.received["r"] {
				if a.Canary {
					canaryServers[a.BackendServerId] = true
				}
			}
			assert.Equal(t, len(canaryServers), limit)
		})
	}
}
