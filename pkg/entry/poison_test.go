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

// Behaviour of backend servers that the poison request crashes.
const (
	poison           = "poison"
	runTime          = 10 * time.Millisecond
	restartTime      = 700 * time.Millisecond
	poisonCrashLimit = 2
)

// crashSite is the backend servers of a world in which one query crashes each
// server that runs it, together with all other requests on the server.
type crashSite struct {
	*world
	crashes map[crashSeen]bool
	gossip  time.Duration            // until other instances learn of a crash
	running map[string]chan struct{} // by backend server; closed by its crash
	down    map[string]time.Time     // until
	ran     map[string]bool          // backend servers that the poison has reached
}

// crashSeen is a crash that an owner has observed.
type crashSeen struct {
	owner  *crashguard.Guard
	server string
}

// newCrashSite starts the entries of all instances, which share one view.
func newCrashSite(seed uint64, gossip time.Duration) (*crashSite, []*Entry) {
	s := &crashSite{world: newWorld(seed), gossip: gossip, running: map[string]chan struct{}{},
		crashes: map[crashSeen]bool{}, down: map[string]time.Time{}, ran: map[string]bool{}}
	s.canary = 200 * time.Millisecond
	s.publish(0, 0, poisonCrashLimit)
	var entries []*Entry
	for n := range worldInstances {
		e := s.entry(fmt.Sprint("i", n))
		e.config.Owners = s
		entries = append(entries, e)
	}
	for id, guard := range s.guards {
		guard.OnReport(func(r crashguard.Report) { go s.spread(id, r) })
	}
	return s, entries
}

// spread carries a crash report to the other instances.
func (s *crashSite) spread(from string, r crashguard.Report) {
	time.Sleep(s.gossip)
	for id, guard := range s.guards {
		if id != from {
			guard.Learn(r.Fingerprint, r.ServerID, r.Zone, r.Observed)
		}
	}
}

// Search implements OwnerClient with the guard of the owner instance.
func (s *crashSite) Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error {
	if err := emit(&peerpb.SearchFrame{RequestId: request.RequestId}); err != nil {
		return err
	}
	replies := make(chan *peerpb.SearchFrame, len(request.Attempts))
	for _, a := range request.Attempts {
		go func() { replies <- s.attempt(ctx, s.guards[to.ID], request, a) }()
	}
	for range request.Attempts {
		if err := emit(<-replies); err != nil {
			return err
		}
	}
	return emit(&peerpb.SearchFrame{RequestId: request.RequestId, Last: true})
}

// attempt does what attemptRun.call in package owner does.
func (s *crashSite) attempt(ctx context.Context, guard *crashguard.Guard, request *peerpb.SearchRequest, a *peerpb.ShardAttempt) *peerpb.SearchFrame {
	r := &peerpb.ShardResult{Shard: a.Shard, Attempt: a.Attempt, BackendServerId: a.BackendServerId, Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	frame := &peerpb.SearchFrame{RequestId: request.RequestId, Results: []*peerpb.ShardResult{r}}
	time.Sleep(time.Millisecond)
	server, _ := s.views["i0"].Server(a.BackendServerId)
	if guard.Admit(request.Fingerprint, int(request.CrashLimit), time.Now()) != nil {
		r.Status = peerpb.ResultStatus_QUARANTINED
		return frame
	}
	crash, up := s.begin(server.ID, request.Query)
	if !up {
		r.Status = peerpb.ResultStatus_UNREACHABLE
		if s.saw(guard, server.ID) && request.Query == poison {
			r.Status = peerpb.ResultStatus_CRASHED // the owner knows why
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
	case <-time.After(runTime + time.Millisecond):
		p := s.index[request.Snapshot].Partitions[a.Shard]
		r.From, r.To, r.Documents = p.From, p.To, p.Documents
		frame.Hits = documents(request.Snapshot, p)
	}
	guard.End(request.Fingerprint, server.ID, outcome, time.Now())
	if outcome == crashguard.OutcomeCrashed {
		s.update(func() { s.crashes[crashSeen{guard, server.ID}] = true })
	}
	return frame
}

func (s *crashSite) saw(guard *crashguard.Guard, serverID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes[crashSeen{guard, serverID}]
}

// begin runs a query on a backend server. It reports false while it restarts.
func (s *crashSite) begin(serverID, query string) (crash chan struct{}, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.down[serverID]) {
		return nil, false
	}
	if s.running[serverID] == nil {
		s.running[serverID] = make(chan struct{})
	}
	crash = s.running[serverID]
	if query == poison {
		s.ran[serverID] = true
		time.AfterFunc(runTime, func() { s.crash(serverID, crash) })
	}
	return crash, true
}

func (s *crashSite) crash(serverID string, running chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[serverID] == running {
		delete(s.running, serverID)
		s.down[serverID] = time.Now().Add(restartTime)
		close(running)
	}
}

// Guards against a request that takes down one replica after the other: its
// caller sends it again and again through all entries, at once and later, and
// it may reach crash limit backend servers. Other requests must not be refused,
// even those that were running on a server when it crashed, once they are known
// to succeed.
func TestPoisonRequestReachesFewBackendServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		gossip := time.Duration(rapid.IntRange(1, 40).Draw(rt, "gossip ms")) * time.Millisecond
		sends := rapid.IntRange(1, 20).Draw(rt, "sends")
		spacing := rapid.IntRange(0, 150).Draw(rt, "spacing ms")
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = resendPoison(seed, gossip, sends, spacing) })
		if len(wrong) > 0 {
			rt.Fatalf("%s", strings.Join(wrong, "\n"))
		}
	})
}

func resendPoison(seed uint64, gossip time.Duration, sends, spacing int) (wrong []string) {
	s, entries := newCrashSite(seed, gossip)
	random := rand.New(rand.NewPCG(seed, 2))
	for n := range 5 {
		for _, e := range entries {
			_, _ = s.search(e, fmt.Sprint("w", n), innocent(n)) // each instance sees them succeed
		}
	}
	report := make(chan string)
	for n := range sends {
		e := entries[random.IntN(len(entries))]
		go func() {
			time.Sleep(time.Duration(n*spacing) * time.Millisecond)
			_, err := s.search(e, fmt.Sprint("p", n), poison)
			if err == nil {
				report <- "the poison request was answered"
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
			_, err := s.search(e, fmt.Sprint("q", n), innocent(n))
			if err != nil {
				report <- fmt.Sprintf("innocent request %d: %v", n, err)
				return
			}
			report <- ""
		}()
	}
	for range 4 * sends {
		if text := <-report; text != "" {
			wrong = append(wrong, text)
		}
	}
	if len(s.ran) > poisonCrashLimit {
		wrong = append(wrong, fmt.Sprintf("%d backend servers ran the poison request: %v", len(s.ran), s.ran))
	}
	time.Sleep(time.Second)
	return wrong
}

func innocent(n int) string { return fmt.Sprint("innocent ", n%5) }
