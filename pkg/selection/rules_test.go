package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const ok = peerpb.ResultStatus_OK

// warmUp creates three shards of two replicas and records equal latencies for all of them.
func warmUp(s *Selector) (shards [3][]membership.BackendServer, all []string) {
	for i := range shards {
		shards[i] = shard(i, 2)
		s.Order(epoch, shards[i], "z")
		for _, server := range shards[i] {
			all = append(all, server.ID)
		}
	}
	for range 20 {
		for _, id := range all {
			observe(s, id, 10*time.Millisecond, ok, epoch)
		}
	}
	return shards, all
}

// Guards against a slow replica that is not ejected, also when all of its attempts
// are cancelled because hedges were faster, and against ejections that do not
// grow or never end.
func TestSlowReplicaIsEjectedForGrowingTime(t *testing.T) {
	for _, status := range []peerpb.ResultStatus{ok, peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED} {
		s, now := newSelector(), epoch
		shards, _ := warmUp(s)
		for _, duration := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			for range 2 * successesToReset {
				observe(s, "0-0", 100*time.Millisecond, status, now)
			}
			assert.Equal(t, len(s.Ejected(now.Add(duration-1), shards[0])), 1, "ejected")
			now = now.Add(duration)
			assert.Equal(t, len(s.Ejected(now, shards[0])), 0, "ejected afterwards")
		}
	}
}

// Guards against ejecting replicas when the whole service slows down.
func TestCommonSlowdownEjectsNothing(t *testing.T) {
	s := newSelector()
	shards, all := warmUp(s)
	for i := range 40 {
		for _, id := range all {
			observe(s, id, 200*time.Millisecond, ok, epoch.Add(time.Duration(i)*100*time.Millisecond))
		}
	}
	for _, replicas := range shards {
		assert.Equal(t, len(s.Ejected(epoch.Add(4*time.Second), replicas)), 0, "ejected")
	}
}

// Guards against preferring a replica that is loaded, slow or in another zone,
// and against never trying a replica again after a slow reply.
func TestOrderPrefersFastIdleAndLocal(t *testing.T) {
	s := newSelector()
	shards, _ := warmUp(s)
	first := func(now time.Time, zone string) string { return s.Order(now, shards[0], zone)[0].ID }
	s.Begin("0-0")
	for range 20 {
		assert.Equal(t, first(epoch, "z"), "0-1", "idle first")
	}
	s.Done(Observation{ServerID: "0-0", Service: testService, Latency: 30 * time.Millisecond, Status: ok}, epoch)
	assert.Equal(t, first(epoch, "z"), "0-1", "fast first")
	shards[0][1].Zone = "elsewhere"
	assert.Equal(t, first(epoch, "z"), "0-1", "fast although remote")
	assert.Equal(t, first(epoch.Add(time.Minute), "z"), "0-0", "local when the slow observation is old")
}

// Guards against sending all first attempts to the best of many replicas. All
// replicas but the worst must come first at times.
func TestPowerOfTwoChoices(t *testing.T) {
	s := newSelector()
	replicas := shard(0, 4)
	s.Order(epoch, replicas, "z")
	for i, server := range replicas {
		observe(s, server.ID, time.Duration(i+1)*10*time.Millisecond, ok, epoch)
	}
	counts := make(map[string]int)
	for range 600 {
		counts[s.Order(epoch, replicas, "z")[0].ID]++
	}
	assert.Equal(t, counts["0-3"], 0, "worst")
	assert.Equal(t, len(counts), 3, "all but the worst")
	assert.Assert(t, counts["0-0"] > 250 && counts["0-0"] < 350, "best about half")
}

// Guards against a hedge delay that falls because cancelled attempts are not
// counted, that is computed from too few samples, or that includes samples from
// before the window.
func TestHedgeDelay(t *testing.T) {
	s := newSelector()
	s.Order(epoch, shard(0, 2), "z")
	for i := range 100 {
		latency, status := 10*time.Millisecond, ok
		if i%10 == 0 {
			latency, status = 50*time.Millisecond, peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED
		}
		observe(s, "0-0", latency, status, epoch)
		if _, known := s.HedgeDelay(testService, 0.95); known != (i+1 >= minSamples) {
			t.Fatalf("known %v after %d samples", known, i+1)
		}
	}
	observe(s, "0-0", 10*time.Millisecond, ok, epoch.Add(refreshInterval))
	delay, _ := s.HedgeDelay(testService, 0.95)
	assert.Assert(t, delay > 45*time.Millisecond && delay < 55*time.Millisecond, "p95 near 50 ms")
	for range minSamples {
		observe(s, "0-0", time.Millisecond, ok, epoch.Add(time.Minute))
	}
	delay, _ = s.HedgeDelay(testService, 0.95)
	assert.Assert(t, delay < 2*time.Millisecond, "p95 after the window")
}

// Guards against hedges that add to an overload, against ejecting replicas
// because of the queueing during an overload, and against reporting an overload
// forever once attempts stop.
func TestOverloadStopsHedges(t *testing.T) {
	queued := Observation{ServerID: "0-0", Service: testService, Latency: 40 * time.Millisecond, QueueTime: 30 * time.Millisecond, Status: ok}
	shed := Observation{ServerID: "0-0", Service: testService, Status: peerpb.ResultStatus_SHED}
	for name, cause := range map[string]Observation{"queue": queued, "shed": shed} {
		s := newSelector()
		shards, _ := warmUp(s)
		assert.Assert(t, s.AllowHedge(testService, 0.1), "hedge before")
		assert.Assert(t, !s.Overloaded(testService, epoch), "overloaded before")
		for range 400 {
			s.Done(cause, epoch)
		}
		assert.Assert(t, s.Overloaded(testService, epoch), name+" overloads")
		assert.Assert(t, !s.AllowHedge(testService, 0.1), "hedge during overload")
		for range 2 * successesToReset {
			observe(s, "0-0", time.Second, peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED, epoch)
		}
		assert.Equal(t, len(s.Ejected(epoch, shards[0])), 0, "ejected during overload")
		observe(s, "0-0", 10*time.Millisecond, ok, epoch.Add(time.Minute))
		assert.Assert(t, s.AllowHedge(testService, 0.1), "hedge later")
		assert.Assert(t, !s.Overloaded(testService, epoch.Add(time.Minute)), "overloaded later")
	}
}
