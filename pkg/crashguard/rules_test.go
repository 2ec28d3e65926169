package crashguard

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

func testServer(id, zone string) membership.BackendServer {
	return membership.BackendServer{ID: id, Zone: zone, Rack: zone + "-1"}
}

// crashOnServer runs the request on a server that crashes meanwhile.
func crashOnServer(g *Guard, fingerprint uint64, s membership.BackendServer, now time.Time) {
	g.Begin(fingerprint, s, now)
	g.End(fingerprint, s.ID, OutcomeCrashed, now)
}

func wantRefusal(t *testing.T, err error, refused, provisional bool) {
	t.Helper()
	var quarantined *QuarantinedError
	if errors.As(err, &quarantined) != refused {
		t.Fatalf("Admit: got %v, want refusal: %v", err, refused)
	}
	if refused && quarantined.Provisional != provisional {
		t.Fatalf("Provisional of the refusal is %v, want the opposite", quarantined.Provisional)
	}
}

// Guards against a quarantine that is final before a correlated loss can be
// recognised, one that ends too early because its first crash expires, and one
// that never ends.
func TestQuarantineTime(t *testing.T) {
	g := New()
	later := testStart.Add(9 * time.Minute)
	crashOnServer(g, 5, testServer("a", "1"), testStart)
	wantRefusal(t, g.Admit(5, 2, testStart), false, false)
	crashOnServer(g, 5, testServer("b", "2"), later)
	wantRefusal(t, g.Admit(5, 2, later), true, true)
	wantRefusal(t, g.Admit(5, 2, later.Add(2*time.Second)), true, false)
	wantRefusal(t, g.Admit(5, 2, later.Add(QuarantineTime-1)), true, false)
	wantRefusal(t, g.Admit(5, 2, later.Add(QuarantineTime)), false, false)
}

// Guards against a crashing request that is never quarantined while all zones but
// one are down, because all its crashes lie in one failure domain.
func TestManyCrashesInOneDomainSuffice(t *testing.T) {
	g := New()
	now := testStart
	for range 2 * DefaultCrashLimit {
		wantRefusal(t, g.Admit(5, 0, now), false, false)
		crashOnServer(g, 5, testServer("a", "1"), now)
		now = now.Add(time.Minute)
	}
	wantRefusal(t, g.Admit(5, 0, now), true, false)
}

// Guards against suspecting a request that has succeeded before of a crash by
// another request, in whichever order their attempts end.
func TestSucceededRequestIsNotSuspected(t *testing.T) {
	const succeeded, neverSucceeded = 1, 2
	for _, order := range [][]uint64{{succeeded, neverSucceeded}, {neverSucceeded, succeeded}} {
		g := New()
		g.RecordSuccess(succeeded, testStart)
		now := testStart
		for _, s := range []membership.BackendServer{testServer("a", "1"), testServer("b", "2")} {
			now = now.Add(time.Minute)
			g.Begin(succeeded, s, now)
			g.Begin(neverSucceeded, s, now)
			for _, fingerprint := range order {
				g.End(fingerprint, s.ID, OutcomeCrashed, now)
			}
		}
		wantRefusal(t, g.Admit(succeeded, 2, now), false, false)
		wantRefusal(t, g.Admit(neverSucceeded, 2, now), true, true)
		if !g.KnownToSucceed(succeeded, now) || g.KnownToSucceed(neverSucceeded, now) {
			t.Fatal("KnownToSucceed does not hold for the succeeded request only")
		}
	}
}

// Guards against a suspicion that outlives a success, also when the report of the
// crash arrives once more afterwards.
func TestSuccessClearsSuspicion(t *testing.T) {
	g := New()
	crashOnServer(g, 5, testServer("a", "1"), testStart)
	g.MergeReport(5, "b", "2", testStart)
	g.RecordSuccess(5, testStart.Add(time.Second))
	g.MergeReport(5, "a", "1", testStart)
	g.MergeReport(5, "b", "2", testStart)
	wantRefusal(t, g.Admit(5, 2, testStart.Add(time.Minute)), false, false)
}

// Guards against counting a crash twice because another instance reports it as
// well, and against not counting a second crash soon after the restart.
func TestOneCrashCountsOnce(t *testing.T) {
	g := New()
	a := testServer("a", "1")
	crashOnServer(g, 5, a, testStart)
	g.MergeReport(5, "a", "1", testStart.Add(100*time.Millisecond))
	wantRefusal(t, g.Admit(5, 1, testStart), true, true)
	crashOnServer(g, 5, a, testStart.Add(4*time.Second))
	if got := len(g.suspects[5].crashes); got != 2 {
		t.Fatalf("%d crashes recorded, want 2", got)
	}
}

// Guards against explaining a crash by failed calls to a server that was already
// down long before.
func TestOldLossExplainsNothing(t *testing.T) {
	g := New()
	g.RecordLoss(testServer("x", "1"), testStart)
	now := testStart.Add(time.Minute)
	g.RecordLoss(testServer("x", "1"), now)
	crashOnServer(g, 5, testServer("a", "1"), now)
	wantRefusal(t, g.Admit(5, 1, now.Add(2*time.Second)), true, false)
}

// Guards against a suspect whose crashes are below the limit but whose concurrent
// retries could exceed it.
func TestRunningAttemptsOfSuspectCount(t *testing.T) {
	g := New()
	crashOnServer(g, 5, testServer("a", "1"), testStart)
	wantRefusal(t, g.Admit(5, 2, testStart), false, false)
	g.Begin(5, testServer("b", "2"), testStart)
	wantRefusal(t, g.Admit(5, 2, testStart), true, true)
	g.End(5, "b", OutcomeInconclusive, testStart)
	wantRefusal(t, g.Admit(5, 2, testStart), false, false)
}

// Guards against a canary shard that changes when another shard is removed, which
// sends retries to other owners, and against memory that grows with the number
// of requests or losses.
func TestCanaryIsStableAndMemoryIsBounded(t *testing.T) {
	g := New()
	shards := []int{3, 1, 4, 7}
	chosen := g.CanaryShard(5, shards)
	for _, gone := range shards {
		rest := slices.DeleteFunc(slices.Clone(shards), func(s int) bool { return s == gone })
		if gone != chosen && g.CanaryShard(5, rest) != chosen {
			t.Fatalf("the canary shard changed when shard %d was removed", gone)
		}
	}
	for i := range uint64(3 * maxSuccessesPerGeneration) {
		g.RecordSuccess(i, testStart)
	}
	for i := range uint64(2 * maxSuspects) {
		g.MergeReport(i+1, fmt.Sprint(i%1000), "1", testStart.Add(time.Hour+time.Duration(i)*time.Second))
	}
	if len(g.suspects) > maxSuspects || len(g.suspectOrder) != len(g.suspects) || len(g.losses.history) > maxLosses ||
		len(g.losses.latest) > maxLosses || len(g.successes.newer)+len(g.successes.older) > 2*maxSuccessesPerGeneration {
		t.Fatal("memory is not bounded")
	}
}

// Guards against counting one external fault twice, when the request was in flight
// on every server of the zone that is known to be lost.
func TestOneIncidentCountsOnce(t *testing.T) {
	g := New()
	other := membership.BackendServer{ID: "b", Zone: "1", Rack: "1-2"}
	g.Begin(5, testServer("a", "1"), testStart)
	g.Begin(5, other, testStart)
	g.End(5, "a", OutcomeCrashed, testStart)
	g.End(5, "b", OutcomeCrashed, testStart)
	wantRefusal(t, g.Admit(5, 2, testStart.Add(2*time.Second)), false, false)
}

// Guards against an instance that cannot explain a crash because the bound on
// reports has held back, at the observer, the loss that explains it.
func TestReportedLossesExplainWhatTheObserverExplains(t *testing.T) {
	observer, receiver := New(), New()
	observer.OnReport(func(r Report) { receiver.MergeReport(r.Fingerprint, r.ServerID, r.Zone, r.Observed) })
	for i, after := range []time.Duration{0, 0, 200 * time.Millisecond} {
		observer.RecordLoss(testServer(fmt.Sprint("x", i), "1"), testStart.Add(after))
	}
	crashOnServer(observer, 5, testServer("a", "1"), testStart.Add(1150*time.Millisecond))
	if got := len(receiver.losses.history); got != 3 {
		t.Fatalf("%d losses known from reports, want 3", got)
	}
	for _, g := range []*Guard{observer, receiver} {
		wantRefusal(t, g.Admit(5, 1, testStart.Add(time.Minute)), false, false)
	}
}

// connect delivers the reports of each guard to all others at once.
func connect(guards ...*Guard) {
	for _, from := range guards {
		from.OnReport(func(r Report) {
			for _, to := range guards {
				switch {
				case to == from:
				case r.Succeeded:
					to.MergeSuccess(r.Fingerprint, r.Observed)
				default:
					to.MergeReport(r.Fingerprint, r.ServerID, r.Zone, r.Observed)
				}
			}
		})
	}
}

// Guards against a quarantine of a harmless request that was in flight on both
// servers that a crashing request took down. Neither owner of these servers has
// seen the harmless request succeed, but a third instance has, before or after.
func TestSuccessElsewhereClearsHarmlessRequest(t *testing.T) {
	const harmless = 1
	for _, name := range []string{"before", "long before", "after"} {
		t.Run(name, func(t *testing.T) {
			first, second, third := New(), New(), New()
			connect(first, second, third)
			switch name {
			case "before":
				third.RecordSuccess(harmless, testStart.Add(-time.Second))
			case "long before":
				third.RecordSuccess(harmless, testStart.Add(-time.Hour))
			}
			now := testStart
			for i, g := range []*Guard{first, second} {
				now = now.Add(3 * time.Second)
				s := testServer(fmt.Sprint("s", i), fmt.Sprint(i))
				g.Begin(harmless, s, now)
				g.Begin(crashingRequest, s, now)
				g.End(harmless, s.ID, OutcomeCrashed, now)
				g.End(crashingRequest, s.ID, OutcomeCrashed, now)
			}
			now = now.Add(3 * time.Second)
			if name == "after" {
				third.RecordSuccess(harmless, now)
			}
			for _, g := range []*Guard{first, second, third} {
				wantRefusal(t, g.Admit(harmless, 2, now), false, false)
				wantRefusal(t, g.Admit(crashingRequest, 2, now), true, false)
			}
		})
	}
}

// A server is lost, comes back and is lost again 1.5 s later, as other instances report. Guards
// against taking both for one loss: the second one then neither explains the crash of another
// server, so that a harmless request is quarantined, nor counts against the request that caused it.
func TestServerThatIsLostAgainIsLostTwice(t *testing.T) {
	const request, again = 7, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		byRequest uint64 // in flight on the server that is lost twice; 0 is none
		crashes   int
	}{
		"without a request": {byRequest: 0, crashes: 1},
		"by the request":    {byRequest: request, crashes: 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := New()
			now := time.Unix(1000, 0)
			g.MergeReport(c.byRequest, "s0", "z0", now)
			now = now.Add(again)
			g.MergeReport(c.byRequest, "s0", "z0", now)
			if c.byRequest == 0 {
				g.MergeReport(request, "s1", "z0", now.Add(100*time.Millisecond))
			}
			now = now.Add(time.Minute)
			g.MergeReport(request, "s2", "z1", now)
			now = now.Add(time.Minute)
			err := g.Admit(request, DefaultCrashLimit, now)
			var refused *QuarantinedError
			if !errors.As(err, &refused) {
				assert.Assert(t, c.crashes < DefaultCrashLimit, "admitted")
				return
			}
			assert.Equal(t, refused.Crashes, c.crashes)
		})
	}
}
