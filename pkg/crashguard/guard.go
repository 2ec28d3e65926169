package crashguard

import (
	"slices"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Guard judges requests by the crashes that this instance observes and that
// others report. All methods may be called concurrently.
type Guard struct {
	mu       sync.Mutex
	inFlight inFlight
	losses   losses
	suspects map[uint64]*suspect
	order    []uint64 // suspects by first crash, for the bound on memory
	good     goodSet
	onReport func(Report)
}

// New returns a guard without suspicion.
func New() *Guard {
	return &Guard{
		inFlight: newInFlight(),
		losses:   newLosses(),
		suspects: make(map[uint64]*suspect),
		good:     newGoodSet(),
	}
}

// OnReport sets the function that receives this instance's own observations.
// It is called without locks held. Set it before the first Begin.
func (g *Guard) OnReport(report func(Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onReport = report
}

// Admit returns a *QuarantinedError when the request must not run: it has
// crashed limit backend servers, or it has crashed some and its running
// attempts could reach the limit. A limit below 1 takes DefaultCrashLimit.
func (g *Guard) Admit(fingerprint uint64, limit int, now time.Time) error {
	if limit < 1 {
		limit = DefaultCrashLimit
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.currentLocked(fingerprint, now)
	if s == nil {
		return nil
	}
	refused := &QuarantinedError{Fingerprint: fingerprint, Until: s.last().Add(QuarantineTime)}
	v := g.judgeLocked(fingerprint, s.crashes)
	refused.Crashes = v.crashes
	if v.reaches(limit) {
		confirmed := g.judgeLocked(fingerprint, s.before(now.Add(-CorrelationWindow)))
		refused.Provisional = !confirmed.reaches(limit)
		return refused
	}
	running := g.inFlight.attempts[fingerprint]
	if v.crashes > 0 && running > 0 && v.crashes+running >= limit {
		refused.Provisional = true
		return refused
	}
	return nil
}

func (g *Guard) judgeLocked(fingerprint uint64, crashes []crash) verdict {
	return judge(crashes, func(c crash) bool {
		return g.losses.explain(fingerprint, c) || g.causedByOtherLocked(fingerprint, c)
	})
}

// Begin records that a request is sent to a backend server.
func (g *Guard) Begin(fingerprint uint64, server membership.BackendServer, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight.begin(fingerprint, server, now)
}

// End records the outcome of an attempt that Begin announced.
func (g *Guard) End(fingerprint uint64, serverID string, result Outcome, now time.Time) {
	reports, notify := g.end(fingerprint, serverID, result, now)
	send(reports, notify)
}

func (g *Guard) end(fingerprint uint64, serverID string, result Outcome, now time.Time) ([]Report, func(Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []Report
	switch result {
	case OutcomeCrashed:
		reports = g.crashedLocked(fingerprint, serverID, now)
	case OutcomeOK:
		g.losses.up(serverID)
		reports = g.markGoodLocked(fingerprint, now)
	}
	g.inFlight.end(fingerprint, serverID)
	return reports, g.onReport
}

// crashedLocked incriminates the requests in flight on the server when the
// first attempt ends by its crash. The other attempts end a moment later and
// find themselves recorded in the loss.
func (g *Guard) crashedLocked(fingerprint uint64, serverID string, now time.Time) []Report {
	load := g.inFlight.servers[serverID]
	if load == nil || load.running[fingerprint] == nil {
		return nil
	}
	lost := g.losses.crashed(serverID, load.server.Zone, load.running[fingerprint].begun, now)
	if _, recorded := lost.running[fingerprint]; recorded {
		return nil
	}
	for running := range load.running {
		lost.running[running] = struct{}{}
	}
	c := crash{serverID: serverID, zone: load.server.Zone, rack: load.server.Rack, at: now}
	var reports []Report
	for _, blamed := range g.blamedLocked(load, lost) {
		if g.incriminateLocked(blamed, c) {
			reports = append(reports, Report{Fingerprint: blamed, ServerID: serverID, Zone: c.zone, Observed: now})
		}
	}
	return reports
}

// blamedLocked returns the requests on the server that may have caused the
// loss, in a fixed order. One that has succeeded before is blamed only when
// every request that was in flight has.
func (g *Guard) blamedLocked(load *serverLoad, lost *loss) []uint64 {
	unproven := false
	for fingerprint := range lost.running {
		unproven = unproven || !g.good.has(fingerprint)
	}
	var blamed []uint64
	for fingerprint := range load.running {
		if unproven != g.good.has(fingerprint) {
			blamed = append(blamed, fingerprint)
		}
	}
	slices.Sort(blamed)
	return blamed
}
