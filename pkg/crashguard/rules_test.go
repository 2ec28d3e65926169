package crashguard

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

func replica(id, zone string) membership.BackendServer {
	return membership.BackendServer{ID: id, Zone: zone, Rack: zone + "-1"}
}

// crashes runs the request on a server that crashes.
func crashes(g *Guard, fingerprint uint64, s membership.BackendServer, now time.Time) {
	g.Begin(fingerprint, s, now)
	g.End(fingerprint, s.ID, OutcomeCrashed, now)
}

func wantRefusal(t *testing.T, err error, refused, provisional bool) {
	t.Helper()
	var quarantined *QuarantinedError
	if errors.As(err, &quarantined) != refused {
		t.Fatalf("refused: got %v, want %v", err, refused)
	}
	if refused && quarantined.Provisional != provisional {
		t.Fatalf("provisional: got %v", quarantined.Provisional)
	}
}

// Guards against a quarantine that is final before a correlated loss can be
// recognised, that ends early with its first crash, or that never ends.
func TestQuarantineTime(t *testing.T) {
	g := New()
	later := epoch.Add(9 * time.Minute)
	crashes(g, 5, replica("a", "1"), epoch)
	wantRefusal(t, g.Admit(5, 2, epoch), false, false)
	crashes(g, 5, replica("b", "2"), later)
	wantRefusal(t, g.Admit(5, 2, later), true, true)
	wantRefusal(t, g.Admit(5, 2, later.Add(2*time.Second)), true, false)
	wantRefusal(t, g.Admit(5, 2, later.Add(QuarantineTime-1)), true, false)
	wantRefusal(t, g.Admit(5, 2, later.Add(QuarantineTime)), false, false)
}

// Guards against a poison request that stays free while all but one zone is
// down, since its crashes then lie in one failure domain.
func TestOneDomainSufficesEventually(t *testing.T) {
	g := New()
	now := epoch
	for range 2 * DefaultCrashLimit {
		wantRefusal(t, g.Admit(5, 0, now), false, false)
		crashes(g, 5, replica("a", "1"), now)
		now = now.Add(time.Minute)
	}
	wantRefusal(t, g.Admit(5, 0, now), true, false)
}

// Guards against blaming a proven request for the crash by another one, in
// whichever order their attempts end.
func TestProvenRequestIsNotBlamed(t *testing.T) {
	const proven, fresh = 1, 2
	for _, order := range [][]uint64{{proven, fresh}, {fresh, proven}} {
		g := New()
		g.MarkGood(proven, epoch)
		now := epoch
		for _, s := range []membership.BackendServer{replica("a", "1"), replica("b", "2")} {
			now = now.Add(time.Minute)
			g.Begin(proven, s, now)
			g.Begin(fresh, s, now)
			for _, fingerprint := range order {
				g.End(fingerprint, s.ID, OutcomeCrashed, now)
			}
		}
		wantRefusal(t, g.Admit(proven, 2, now), false, false)
		wantRefusal(t, g.Admit(fresh, 2, now), true, true)
		if !g.KnownGood(proven, now) || g.KnownGood(fresh, now) {
			t.Fatal("known good")
		}
	}
}

// Guards against suspicion that outlives a success, also when the report of
// the crash arrives again later.
func TestSuccessClearsSuspicion(t *testing.T) {
	g := New()
	crashes(g, 5, replica("a", "1"), epoch)
	g.Learn(5, "b", "2", epoch)
	g.MarkGood(5, epoch.Add(time.Second))
	g.Learn(5, "a", "1", epoch)
	g.Learn(5, "b", "2", epoch)
	wantRefusal(t, g.Admit(5, 2, epoch.Add(time.Minute)), false, false)
}

// Guards against one crash that counts twice because it is also reported, and
// against a second crash soon after the restart that does not count.
func TestOneCrashCountsOnce(t *testing.T) {
	g := New()
	a := replica("a", "1")
	crashes(g, 5, a, epoch)
	g.Learn(5, "a", "1", epoch.Add(100*time.Millisecond))
	wantRefusal(t, g.Admit(5, 1, epoch), true, true)
	crashes(g, 5, a, epoch.Add(4*time.Second))
	if got := len(g.suspects[5].crashes); got != 2 {
		t.Fatalf("%d crashes", got)
	}
}

// Guards against explaining a crash by failed calls to a server that has been
// down for long.
func TestOldOutageExplainsNothing(t *testing.T) {
	g := New()
	g.Lost(replica("x", "1"), epoch)
	now := epoch.Add(time.Minute)
	g.Lost(replica("x", "1"), now)
	crashes(g, 5, replica("a", "1"), now)
	wantRefusal(t, g.Admit(5, 1, now.Add(2*time.Second)), true, false)
}

// Guards against a suspect whose concurrent resends exceed the limit, which
// the crashes alone do not reach yet.
func TestRunningAttemptsOfSuspectCount(t *testing.T) {
	g := New()
	crashes(g, 5, replica("a", "1"), epoch)
	wantRefusal(t, g.Admit(5, 2, epoch), false, false)
	g.Begin(5, replica("b", "2"), epoch)
	wantRefusal(t, g.Admit(5, 2, epoch), true, true)
	g.End(5, "b", OutcomeOther, epoch)
	wantRefusal(t, g.Admit(5, 2, epoch), false, false)
}

// Guards against a canary that moves to other owners when another shard or
// replica leaves, and against memory that grows with requests or losses.
func TestCanaryIsStableAndMemoryIsBounded(t *testing.T) {
	g := New()
	shards := []int{3, 1, 4, 7}
	chosen := g.CanaryShard(5, shards)
	for _, gone := range shards {
		rest := slices.DeleteFunc(slices.Clone(shards), func(s int) bool { return s == gone })
		if gone != chosen && g.CanaryShard(5, rest) != chosen {
			t.Fatalf("canary moved when shard %d left", gone)
		}
	}
	for i := range uint64(3 * maxGoodPerGeneration) {
		g.MarkGood(i, epoch)
	}
	for i := range uint64(2 * maxSuspects) {
		g.Learn(i+1, fmt.Sprint(i%1000), "1", epoch.Add(time.Hour+time.Duration(i)*time.Second))
	}
	if len(g.suspects) > maxSuspects || len(g.order) != len(g.suspects) || len(g.losses.history) > maxLosses ||
		len(g.losses.latest) > maxLosses || len(g.good.young)+len(g.good.old) > 2*maxGoodPerGeneration {
		t.Fatal("memory is not bounded")
	}
}

// Guards against counting one external fault twice, when a request was in
// flight on every server of the zone that was observed.
func TestOneIncidentCountsOnce(t *testing.T) {
	g := New()
	other := membership.BackendServer{ID: "b", Zone: "1", Rack: "1-2"}
	g.Begin(5, replica("a", "1"), epoch)
	g.Begin(5, other, epoch)
	g.End(5, "a", OutcomeCrashed, epoch)
	g.End(5, "b", OutcomeCrashed, epoch)
	wantRefusal(t, g.Admit(5, 2, epoch.Add(2*time.Second)), false, false)
}

// Guards against an instance that cannot explain a crash because the bound on
// reports has held back the loss that explains it at its observer.
func TestReportedLossesExplainWhatTheObserverExplains(t *testing.T) {
	observer, learner := New(), New()
	observer.OnReport(func(r Report) { learner.Learn(r.Fingerprint, r.ServerID, r.Zone, r.Observed) })
	for i, after := range []time.Duration{0, 0, 200 * time.Millisecond} {
		observer.Lost(replica(fmt.Sprint("x", i), "1"), epoch.Add(after))
	}
	crashes(observer, 5, replica("a", "1"), epoch.Add(1150*time.Millisecond))
	if got := len(learner.losses.history); got != 3 {
		t.Fatalf("%d losses reported", got)
	}
	for _, g := range []*Guard{observer, learner} {
		wantRefusal(t, g.Admit(5, 1, epoch.Add(time.Minute)), false, false)
	}
}

// connect delivers each guard's reports to all others at once.
func connect(guards ...*Guard) {
	for _, from := range guards {
		from.OnReport(func(r Report) {
			for _, to := range guards {
				switch {
				case to == from:
				case r.Succeeded:
					to.LearnGood(r.Fingerprint, r.Observed)
				default:
					to.Learn(r.Fingerprint, r.ServerID, r.Zone, r.Observed)
				}
			}
		})
	}
}

// Guards against quarantine of a request that was in flight on both servers that
// a poison request took down, where neither owner has seen it succeed but a third
// instance has, before or after.
func TestSuccessElsewhereSeparatesInnocentFromPoison(t *testing.T) {
	const innocent = 1
	for _, name := range []string{"before", "long before", "after"} {
		t.Run(name, func(t *testing.T) {
			first, second, third := New(), New(), New()
			connect(first, second, third)
			switch name {
			case "before":
				third.MarkGood(innocent, epoch.Add(-time.Second))
			case "long before":
				third.MarkGood(innocent, epoch.Add(-time.Hour))
			}
			now := epoch
			for i, g := range []*Guard{first, second} {
				now = now.Add(3 * time.Second)
				s := replica(fmt.Sprint("s", i), fmt.Sprint(i))
				g.Begin(innocent, s, now)
				g.Begin(poison, s, now)
				g.End(innocent, s.ID, OutcomeCrashed, now)
				g.End(poison, s.ID, OutcomeCrashed, now)
			}
			now = now.Add(3 * time.Second)
			if name == "after" {
				third.MarkGood(innocent, now)
			}
			for _, g := range []*Guard{first, second, third} {
				wantRefusal(t, g.Admit(innocent, 2, now), false, false)
				wantRefusal(t, g.Admit(poison, 2, now), true, false)
			}
		})
	}
}
