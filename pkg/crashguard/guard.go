package crashguard

import (
	"slices"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Guard decides which requests to quarantine, from the crashes that this instance
// observes and those that other instances report. It is safe for concurrent use.
type Guard struct {
	mu           sync.Mutex
	inFlight     inFlightAttempts
	losses       losses
	suspects     map[uint64]*suspect
	suspectOrder []uint64 // suspects by first crash; the first one is dropped at maxSuspects
	successes    SuccessSet
	onReport     func(Report)
}

// New returns a Guard without suspects.
func New() *Guard {
	return &Guard{
		inFlight:  newInFlightAttempts(),
		losses:    newLosses(),
		suspects:  make(map[uint64]*suspect),
		successes: NewSuccessSet(maxSuccessesPerGeneration),
	}
}

// OnReport sets the function that receives the reports of this instance, which
// are meant for the other instances. The function is called without locks held.
// Call OnReport before the first Begin.
func (g *Guard) OnReport(report func(Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onReport = report
}

// Admit returns a *QuarantinedError when the request must not run: either it has
// crashed limit backend servers, or it has crashed fewer, but at least one, and
// could reach the limit if its running attempts crashed theirs. A limit below 1
// means DefaultCrashLimit.
func (g *Guard) Admit(fingerprint uint64, limit int, now time.Time) error {
	if limit < 1 {
		limit = DefaultCrashLimit
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.activeSuspectLocked(fingerprint, now)
	if s == nil {
		return nil
	}
	refusal := &QuarantinedError{Fingerprint: fingerprint, Until: s.lastCrash().Add(QuarantineTime)}
	all := g.countCrashesLocked(fingerprint, s.crashes)
	refusal.Crashes = all.crashes
	if all.reachesLimit(limit) {
		confirmed := g.countCrashesLocked(fingerprint, s.crashesUntil(now.Add(-CorrelationWindow)))
		refusal.Provisional = !confirmed.reachesLimit(limit)
		return refusal
	}
	running := g.inFlight.byRequest[fingerprint]
	if all.crashes > 0 && running > 0 && all.crashes+running >= limit {
		refusal.Provisional = true
		return refusal
	}
	return nil
}

// countCrashesLocked counts the crashes that the request may have caused. It
// leaves out those that a correlated loss or another request explains.
func (g *Guard) countCrashesLocked(fingerprint uint64, crashes []crash) crashCount {
	return countCrashes(crashes, func(c crash) bool {
		return g.losses.explains(fingerprint, c) || g.causedByOtherRequestLocked(fingerprint, c)
	})
}

// Begin records that an attempt of a request is sent to a backend server.
func (g *Guard) Begin(fingerprint uint64, server membership.BackendServer, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight.begin(fingerprint, server, now)
}

// End records the outcome of an attempt that was recorded with Begin.
func (g *Guard) End(fingerprint uint64, serverID string, outcome Outcome, now time.Time) {
	reports, notify := g.recordEnd(fingerprint, serverID, outcome, now)
	sendReports(reports, notify)
}

// recordEnd updates the state for End. It returns the reports to send and the
// function that receives them, because that function is called without the lock.
func (g *Guard) recordEnd(fingerprint uint64, serverID string, outcome Outcome, now time.Time) ([]Report, func(Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []Report
	switch outcome {
	case OutcomeCrashed:
		reports = g.recordCrashLocked(fingerprint, serverID, now)
	case OutcomeOK:
		g.losses.markUp(serverID)
		reports = g.recordSuccessLocked(fingerprint, now)
	}
	g.inFlight.end(fingerprint, serverID)
	return reports, g.onReport
}

// recordCrashLocked records the crash of a backend server that ended the given
// attempt. The first attempt that the crash ends adds the crash to every request
// that may have caused it. The other attempts end shortly afterwards and add
// nothing, since the loss already lists them.
func (g *Guard) recordCrashLocked(fingerprint uint64, serverID string, now time.Time) []Report {
	onServer := g.inFlight.byServer[serverID]
	if onServer == nil || onServer.running[fingerprint] == nil {
		return nil
	}
	lost := g.losses.recordCrash(serverID, onServer.server.Zone, onServer.running[fingerprint].oldestStart, now)
	if _, recorded := lost.running[fingerprint]; recorded {
		return nil
	}
	for other := range onServer.running {
		lost.running[other] = struct{}{}
	}
	c := crash{serverID: serverID, zone: onServer.server.Zone, rack: onServer.server.Rack, at: now}
	var reports []Report
	for _, suspected := range g.possibleCausesLocked(onServer, lost) {
		if g.addCrashLocked(suspected, c) {
			reports = append(reports, Report{Fingerprint: suspected, ServerID: serverID, Zone: c.zone, Observed: now})
		}
	}
	return reports
}

// possibleCausesLocked returns the requests in flight on the server that may have
// caused the loss, sorted. A request that has succeeded before is a possible
// cause only if all requests that were in flight have succeeded before.
func (g *Guard) possibleCausesLocked(onServer *serverAttempts, lost *loss) []uint64 {
	anyNeverSucceeded := false
	for fingerprint := range lost.running {
		anyNeverSucceeded = anyNeverSucceeded || !g.successes.Contains(fingerprint)
	}
	var causes []uint64
	for fingerprint := range onServer.running {
		if anyNeverSucceeded != g.successes.Contains(fingerprint) {
			causes = append(causes, fingerprint)
		}
	}
	slices.Sort(causes)
	return causes
}
