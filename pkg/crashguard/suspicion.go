package crashguard

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// RecordLoss records that a backend server was found unreachable while it was
// running no request. Such a loss can explain crashes in the same zone.
func (g *Guard) RecordLoss(server membership.BackendServer, now time.Time) {
	g.mu.Lock()
	reports := g.lossReportLocked(g.losses.recordUnreachable(server.ID, server.Zone, now))
	notify := g.onReport
	g.mu.Unlock()
	sendReports(reports, notify)
}

// RecordReply records that a backend server has replied, whether or not it ran the
// request. An attempt that ends with OutcomeOK implies it.
func (g *Guard) RecordReply(serverID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses.markUp(serverID)
}

// lossReportLocked returns the report of a loss that no request may have caused,
// or nothing when the bound on such reports is reached.
func (g *Guard) lossReportLocked(lost *loss) []Report {
	if lost == nil || !g.losses.isReportAllowed(lost.zone, lost.at) {
		return nil
	}
	lost.reportSent = true
	return []Report{{ServerID: lost.serverID, Zone: lost.zone, Observed: lost.at}}
}

func sendReports(reports []Report, notify func(Report)) {
	if notify == nil {
		return
	}
	for _, report := range reports {
		notify(report)
	}
}

// MergeReport applies another instance's report of a crash, or of a loss when the
// fingerprint is 0; see Report. observed is the time by this instance's clock.
// When the request has succeeded at this instance, MergeReport reports that to
// the other instances: they may suspect it as much as the request that crashed
// the server.
func (g *Guard) MergeReport(fingerprint uint64, serverID, zone string, observed time.Time) {
	g.mu.Lock()
	reports := g.mergeReportLocked(fingerprint, crash{serverID: serverID, zone: zone, at: observed})
	notify := g.onReport
	g.mu.Unlock()
	sendReports(reports, notify)
}

func (g *Guard) mergeReportLocked(fingerprint uint64, c crash) []Report {
	lost := g.losses.recordReported(c.serverID, c.zone, c.at)
	if fingerprint == 0 {
		return nil
	}
	lost.running[fingerprint] = struct{}{}
	if !g.successes.SucceededSince(fingerprint, c.at) {
		g.addCrashLocked(fingerprint, c)
	}
	lastSuccess, succeeded := g.successes.LastSuccess(fingerprint)
	if !succeeded {
		return nil
	}
	return []Report{{Fingerprint: fingerprint, ServerID: c.serverID, Zone: c.zone, Observed: reportedSuccessTime(lastSuccess, c), Succeeded: true}}
}

// reportedSuccessTime returns the time that a report gives for a success. Instances
// drop old reports, so a success from long before the crash is dated
// sameCrashWindow before it. That distance covers the uncertainty of reported
// times.
func reportedSuccessTime(lastSuccess int64, c crash) time.Time {
	success, latest := time.Unix(0, lastSuccess), c.at.Add(-sameCrashWindow)
	if success.Before(latest) {
		return latest
	}
	return success
}

// MergeSuccess applies another instance's report that a request has succeeded. at
// is the time by this instance's clock.
func (g *Guard) MergeSuccess(fingerprint uint64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.successes.SucceededSince(fingerprint, at) {
		return
	}
	g.successes.Record(fingerprint, at)
	if s := g.suspects[fingerprint]; s != nil && !s.lastCrash().After(at) {
		g.clearSuspectLocked(fingerprint)
	}
}

// causedByOtherRequestLocked reports whether another request more likely caused
// the crash: the given request has succeeded before, and one that was in flight
// on the server at the same time has not.
func (g *Guard) causedByOtherRequestLocked(fingerprint uint64, c crash) bool {
	if !g.successes.Contains(fingerprint) {
		return false
	}
	for _, lost := range g.losses.history {
		if lost.serverID != c.serverID || !within(lost.at, c.at, sameCrashWindow) {
			continue
		}
		for other := range lost.running {
			if !g.successes.Contains(other) {
				return true
			}
		}
	}
	return false
}

// KnownToSucceed reports whether the request has succeeded and is not suspected.
// Such a request needs no canary.
func (g *Guard) KnownToSucceed(fingerprint uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.activeSuspectLocked(fingerprint, now) == nil && g.successes.Contains(fingerprint)
}

// RecordSuccess records that the request has succeeded. An attempt that ends with
// OutcomeOK implies it.
func (g *Guard) RecordSuccess(fingerprint uint64, now time.Time) {
	g.mu.Lock()
	reports := g.recordSuccessLocked(fingerprint, now)
	notify := g.onReport
	g.mu.Unlock()
	sendReports(reports, notify)
}

// CanaryShard returns the shard to which a request that is not known to succeed is
// sent first, or -1 when shards is empty. All instances choose the same shard, so
// that retries reach the owners that have observed the earlier crashes.
func (g *Guard) CanaryShard(fingerprint uint64, shards []int) int {
	return canaryShard(fingerprint, shards)
}

// CanaryReplicas returns the replicas of the canary shard in the order in which to
// try them, which is the same at all instances.
func (g *Guard) CanaryReplicas(fingerprint uint64, replicas []membership.BackendServer) []membership.BackendServer {
	return canaryReplicas(fingerprint, replicas)
}

// recordSuccessLocked returns the report that makes other instances drop the
// suspicion, if the request was suspected.
func (g *Guard) recordSuccessLocked(fingerprint uint64, now time.Time) []Report {
	g.successes.Record(fingerprint, now)
	s := g.suspects[fingerprint]
	if s == nil {
		return nil
	}
	latest := s.crashes[len(s.crashes)-1]
	g.clearSuspectLocked(fingerprint)
	return []Report{{Fingerprint: fingerprint, ServerID: latest.serverID, Zone: latest.zone, Observed: now, Succeeded: true}}
}

func (g *Guard) clearSuspectLocked(fingerprint uint64) {
	delete(g.suspects, fingerprint)
	g.removeFromOrderLocked(fingerprint)
}

// addCrashLocked adds a crash to those that the request may have caused. It
// reports whether the crash was new.
func (g *Guard) addCrashLocked(fingerprint uint64, c crash) bool {
	s := g.suspects[fingerprint]
	if s == nil {
		if len(g.suspects) >= maxSuspects {
			delete(g.suspects, g.suspectOrder[0])
			g.suspectOrder = g.suspectOrder[1:]
		}
		s = &suspect{}
		g.suspects[fingerprint] = s
		g.suspectOrder = append(g.suspectOrder, fingerprint)
	}
	return s.add(c)
}

// activeSuspectLocked returns the suspect with the fingerprint, or nil when there
// is none or its quarantine time has passed.
func (g *Guard) activeSuspectLocked(fingerprint uint64, now time.Time) *suspect {
	s := g.suspects[fingerprint]
	if s == nil {
		return nil
	}
	if now.Sub(s.lastCrash()) >= QuarantineTime {
		g.clearSuspectLocked(fingerprint)
		return nil
	}
	return s
}

func (g *Guard) removeFromOrderLocked(fingerprint uint64) {
	for i, other := range g.suspectOrder {
		if other == fingerprint {
			g.suspectOrder = append(g.suspectOrder[:i:i], g.suspectOrder[i+1:]...)
			return
		}
	}
}
