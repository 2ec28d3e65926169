package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"pgregory.net/rapid"
)

// The crashing query and the behaviour of the backend servers that run it.
const (
	crashingQuery   = "poison"
	runDuration     = 10 * time.Millisecond
	restartDuration = 700 * time.Millisecond
	crashQueryLimit = 2
)

// crashCluster is a cluster in which one query crashes each backend server that
// runs it, together with all other requests on that server.
type crashCluster struct {
	*cluster
	observedCrashes  map[observedCrash]bool
	gossipDelay      time.Duration            // delay until other instances receive a crash report
	crashSignals     map[string]chan struct{} // by backend server; closed when the server crashes
	downUntil        map[string]time.Time     // end of the restart, by backend server
	ranCrashingQuery map[string]bool          // backend servers that ran the crashing query
}

// observedCrash identifies a crash of a backend server that an owner observed.
type observedCrash struct {
	owner  *crashguard.Guard
	server string
}

// newCrashCluster starts the entries of all instances.
func newCrashCluster(seed uint64, gossipDelay time.Duration) (*crashCluster, []*Entry) {
	c := &crashCluster{cluster: newCluster(seed), gossipDelay: gossipDelay, crashSignals: map[string]chan struct{}{},
		observedCrashes: map[observedCrash]bool{}, downUntil: map[string]time.Time{}, ranCrashingQuery: map[string]bool{}}
	c.canaryWait = 200 * time.Millisecond
	c.publishBundle(0, 0, crashQueryLimit)
	var entries []*Entry
	for n := range numInstances {
		entry := c.newEntry(fmt.Sprint("i", n))
		entry.config.Owners = c
		entries = append(entries, entry)
	}
	for id, guard := range c.guards {
		guard.OnReport(func(r crashguard.Report) { go c.gossipReport(id, r) })
	}
	return c, entries
}

// gossipReport passes a crash report to the other instances.
func (c *crashCluster) gossipReport(from string, r crashguard.Report) {
	time.Sleep(c.gossipDelay)
	for id, guard := range c.guards {
		if id != from {
			guard.MergeReport(r.Fingerprint, r.ServerID, r.Zone, r.Observed)
		}
	}
}

// Search implements OwnerClient with the crash guard of the owner instance.
func (c *crashCluster) Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error {
	if err := emit(&peerpb.SearchFrame{RequestId: request.RequestId}); err != nil {
		return err
	}
	replies := make(chan *peerpb.SearchFrame, len(request.Attempts))
	for _, a := range request.Attempts {
		go func() { replies <- c.attempt(ctx, c.guards[to.ID], request, a) }()
	}
	for range request.Attempts {
		if err := emit(<-replies); err != nil {
			return err
		}
	}
	return emit(&peerpb.SearchFrame{RequestId: request.RequestId, Last: true})
}

// attempt handles one attempt as attemptRun.call in package owner does.
func (c *crashCluster) attempt(ctx context.Context, guard *crashguard.Guard, request *peerpb.SearchRequest, a *peerpb.ShardAttempt) *peerpb.SearchFrame {
	r := &peerpb.ShardResult{Shard: a.Shard, Attempt: a.Attempt, BackendServerId: a.BackendServerId, Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	frame := &peerpb.SearchFrame{RequestId: request.RequestId, Results: []*peerpb.ShardResult{r}}
	time.Sleep(time.Millisecond)
	server, _ := c.views["i0"].Server(a.BackendServerId)
	if guard.Admit(request.Fingerprint, int(request.CrashLimit), time.Now()) != nil {
		r.Status = peerpb.ResultStatus_QUARANTINED
		return frame
	}
	crash, up := c.begin(server.ID, request.Query)
	if !up {
		r.Status = peerpb.ResultStatus_UNREACHABLE
		if c.hasObserved(guard, server.ID) && request.Query == crashingQuery {
			r.Status = peerpb.ResultStatus_CRASHED // the owner knows that this query crashed the server
		}
		return frame
	}
	guard.Begin(request.Fingerprint, server, time.Now())
	outcome := crashguard.OutcomeOK
	r.Status, r.Run, r.Snapshot = peerpb.ResultStatus_OK, peerpb.RunState_RUN_STATE_RUN, request.Snapshot
	select {
	case <-crash:
		outcome = crashguard.OutcomeCrashed
		r.Status, r.Run = peerpb.ResultStatus_CRASHED, peerpb.RunState_RUN_STATE_UNKNOWN
	case <-time.After(runDuration + time.Millisecond):
		p := c.snapshots[request.Snapshot].Partitions[a.Shard]
		r.From, r.To, r.Documents = p.From, p.To, p.Documents
		frame.Hits = documents(request.Snapshot, p)
	}
	guard.End(request.Fingerprint, server.ID, outcome, time.Now())
	if outcome == crashguard.OutcomeCrashed {
		c.withLock(func() { c.observedCrashes[observedCrash{guard, server.ID}] = true })
	}
	return frame
}

// hasObserved reports whether the owner with this guard has observed a crash of
// the backend server.
func (c *crashCluster) hasObserved(guard *crashguard.Guard, serverID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observedCrashes[observedCrash{guard, serverID}]
}

// begin starts a query on a backend server. It reports false while the server
// restarts.
func (c *crashCluster) begin(serverID, query string) (crash chan struct{}, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil[serverID]) {
		return nil, false
	}
	if c.crashSignals[serverID] == nil {
		c.crashSignals[serverID] = make(chan struct{})
	}
	crash = c.crashSignals[serverID]
	if query == crashingQuery {
		c.ranCrashingQuery[serverID] = true
		time.AfterFunc(runDuration, func() { c.crash(serverID, crash) })
	}
	return crash, true
}

// crash ends all requests in flight on a backend server, unless the server has
// crashed since the crashing query started.
func (c *crashCluster) crash(serverID string, running chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashSignals[serverID] == running {
		delete(c.crashSignals, serverID)
		c.downUntil[serverID] = time.Now().Add(restartDuration)
		close(running)
	}
}

// Guards against a request that crashes one replica after the other. Its caller
// resends it through all entries, at the same time and later, and it may reach
// at most crashQueryLimit backend servers. Requests that are known to succeed
// must not be refused, even if they were in flight on a server when it crashed.
func TestCrashingRequestReachesFewBackendServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		gossipDelay := time.Duration(rapid.IntRange(1, 40).Draw(rt, "gossip ms")) * time.Millisecond
		sends := rapid.IntRange(1, 20).Draw(rt, "sends")
		spacing := rapid.IntRange(0, 150).Draw(rt, "spacing ms")
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = resendCrashingQuery(seed, gossipDelay, sends, spacing) })
		if len(failures) > 0 {
			rt.Fatalf("%s", strings.Join(failures, "\n"))
		}
	})
}

// resendCrashingQuery sends the crashing query and harmless queries through
// random entries and returns what went wrong.
func resendCrashingQuery(seed uint64, gossipDelay time.Duration, sends, spacing int) (failures []string) {
	c, entries := newCrashCluster(seed, gossipDelay)
	random := rand.New(rand.NewPCG(seed, 2))
	for n := range 5 {
		for _, e := range entries {
			_, _ = c.search(e, fmt.Sprint("w", n), harmlessQuery(n)) // makes the query known to succeed at each instance
		}
	}
	report := make(chan string)
	for n := range sends {
		e := entries[random.IntN(len(entries))]
		go func() {
			time.Sleep(time.Duration(n*spacing) * time.Millisecond)
			_, err := c.search(e, fmt.Sprint("p", n), crashingQuery)
			if err == nil {
				report <- "the crashing request was answered"
				return
			}
			report <- ""
		}()
	}
	for n := range 3 * sends {
		e := entries[random.IntN(len(entries))]
		wait := time.Duration(n*spacing/3+random.IntN(5)) * time.Millisecond
		go func() {
			time.Sleep(wait)
			_, err := c.search(e, fmt.Sprint("q", n), harmlessQuery(n))
			if err != nil {
				report <- fmt.Sprintf("harmless request %d: %v", n, err)
				return
			}
			report <- ""
		}()
	}
	for range 4 * sends {
		if text := <-report; text != "" {
			failures = append(failures, text)
		}
	}
	if len(c.ranCrashingQuery) > crashQueryLimit {
		failures = append(failures, fmt.Sprintf("%d backend servers ran the crashing request: %v", len(c.ranCrashingQuery), c.ranCrashingQuery))
	}
	time.Sleep(time.Second)
	return failures
}

func harmlessQuery(n int) string { return fmt.Sprint("innocent ", n%5) }
