package crashguard

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Lost records that a backend server was found unreachable without a running
// request. Such a loss can explain crashes in the same zone.
func (g *Guard) Lost(server membership.BackendServer, now time.Time) {
	g.mu.Lock()
	reports := g.lossReportLocked(g.losses.unreachable(server.ID, server.Zone, now))
	notify := g.onReport
	g.mu.Unlock()
	send(reports, notify)
}

// Alive records that a backend server has replied, whether or not it ran the
// request. OutcomeOK implies it.
func (g *Guard) Alive(serverID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses.up(serverID)
}

// lossReportLocked returns the report of a loss that no request is blamed for.
func (g *Guard) lossReportLocked(lost *loss) []Report {
	if lost == nil || !g.losses.mayReport(lost.zone, lost.at) {
		return nil
	}
	lost.reported = true
	return []Report{{ServerID: lost.serverID, Zone: lost.zone, Observed: lost.at}}
}

func send(reports []Report, notify func(Report)) {
	if notify == nil {
		return
	}
	for _, report := range reports {
		notify(report)
	}
}

// Learn adds a report of another instance, see Report. Observed is in this
// instance's clock. When the request has succeeded here, the others are told: to
// them it may be as suspect as the one that crashed the server.
func (g *Guard) Learn(fingerprint uint64, serverID, zone string, observed time.Time) {
	g.mu.Lock()
	reports := g.learnLocked(fingerprint, crash{serverID: serverID, zone: zone, at: observed})
	notify := g.onReport
	g.mu.Unlock()
	send(reports, notify)
}

func (g *Guard) learnLocked(fingerprint uint64, c crash) []Report {
	lost := g.losses.reported(c.serverID, c.zone, c.at)
	if fingerprint == 0 {
		return nil
	}
	lost.running[fingerprint] = struct{}{}
	if !g.good.succeededSince(fingerprint, c.at) {
		g.incriminateLocked(fingerprint, c)
	}
	at, good := g.good.get(fingerprint)
	if !good {
		return nil
	}
	return []Report{{Fingerprint: fingerprint, ServerID: c.serverID, Zone: c.zone, Observed: reportedSuccess(at, c), Succeeded: true}}
}

// reportedSuccess is the time of a success in a report. Old reports are dropped on
// their way, so one from long before the crash is dated shortly before it; the
// distance covers the uncertainty of reported times.
func reportedSuccess(at int64, c crash) time.Time {
	success, latest := time.Unix(0, at), c.at.Add(-sameCrashWindow)
	if success.Before(latest) {
		return latest
	}
	return success
}

// LearnGood adds another instance's report that a request has succeeded. At is
// in this instance's clock.
func (g *Guard) LearnGood(fingerprint uint64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.good.succeededSince(fingerprint, at) {
		return
	}
	g.good.add(fingerprint, at)
	if s := g.suspects[fingerprint]; s != nil && !s.last().After(at) {
		g.clearLocked(fingerprint)
	}
}

// causedByOtherLocked reports whether a request that has succeeded is suspected
// of a crash at which another one was in flight that has not.
func (g *Guard) causedByOtherLocked(fingerprint uint64, c crash) bool {
	if !g.good.has(fingerprint) {
		return false
	}
	for _, lost := range g.losses.history {
		if lost.serverID != c.serverID || !within(lost.at, c.at, sameCrashWindow) {
			continue
		}
		for other := range lost.running {
			if !g.good.has(other) {
				return true
			}
		}
	}
	return false
}

// KnownGood reports whether the request has succeeded and is not suspected, so
// that it needs no canary.
func (g *Guard) KnownGood(fingerprint uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentLocked(fingerprint, now) == nil && g.good.has(fingerprint)
}

// MarkGood records that the request has succeeded. OutcomeOK implies it.
func (g *Guard) MarkGood(fingerprint uint64, now time.Time) {
	g.mu.Lock()
	reports := g.markGoodLocked(fingerprint, now)
	notify := g.onReport
	g.mu.Unlock()
	send(reports, notify)
}

// CanaryShard returns the shard that a request not yet known to be good is
// sent to first, or -1 when shards is empty. All instances choose the same, so
// that retries meet the owners that have observed earlier crashes.
func (g *Guard) CanaryShard(fingerprint uint64, shards []int) int {
	return canaryShard(fingerprint, shards)
}

// CanaryReplicas returns the replicas of the canary shard in the order in which
// all instances try them.
func (g *Guard) CanaryReplicas(fingerprint uint64, replicas []membership.BackendServer) []membership.BackendServer {
	return canaryReplicas(fingerprint, replicas)
}

// markGoodLocked returns the reports that clear a suspect at other instances.
func (g *Guard) markGoodLocked(fingerprint uint64, now time.Time) []Report {
	g.good.add(fingerprint, now)
	s := g.suspects[fingerprint]
	if s == nil {
		return nil
	}
	latest := s.crashes[len(s.crashes)-1]
	g.clearLocked(fingerprint)
	return []Report{{Fingerprint: fingerprint, ServerID: latest.serverID, Zone: latest.zone, Observed: now, Succeeded: true}}
}

func (g *Guard) clearLocked(fingerprint uint64) {
	delete(g.suspects, fingerprint)
	g.forgetOrderLocked(fingerprint)
}

// incriminateLocked reports whether the crash was new.
func (g *Guard) incriminateLocked(fingerprint uint64, c crash) bool {
	s := g.suspects[fingerprint]
	if s == nil {
		if len(g.suspects) >= maxSuspects {
			delete(g.suspects, g.order[0])
			g.order = g.order[1:]
		}
		s = &suspect{}
		g.suspects[fingerprint] = s
		g.order = append(g.order, fingerprint)
	}
	return s.add(c)
}

// currentLocked returns the suspect, or nil when its crashes have expired.
func (g *Guard) currentLocked(fingerprint uint64, now time.Time) *suspect {
	s := g.suspects[fingerprint]
	if s == nil {
		return nil
	}
	if now.Sub(s.last()) >= QuarantineTime {
		g.clearLocked(fingerprint)
		return nil
	}
	return s
}

func (g *Guard) forgetOrderLocked(fingerprint uint64) {
	for i, other := range g.order {
		if other == fingerprint {
			g.order = append(g.order[:i:i], g.order[i+1:]...)
			return
		}
	}
}
