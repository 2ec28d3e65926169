package crashguard

import "time"

// loss is one loss of a backend server: it crashed or became unreachable.
type loss struct {
	serverID          string
	zone              string
	at                time.Time
	running           map[uint64]struct{} // requests known to have been in flight on the server
	fromOtherInstance bool                // observed by another instance, which reported it
	reportSent        bool                // reported to other instances as a loss without a request
}

// correlationWindow returns the time within which the loss can explain a crash.
func (l *loss) correlationWindow() time.Duration {
	if l.fromOtherInstance {
		return reportedCorrelationWindow
	}
	return CorrelationWindow
}

// losses holds a bounded history of losses.
type losses struct {
	history []*loss          // oldest first
	latest  map[string]*loss // latest loss in history, by server id
	down    map[string]bool  // servers that have not replied since their latest loss
}

func newLosses() losses {
	return losses{latest: make(map[string]*loss), down: make(map[string]bool)}
}

// recordCrash returns the loss that ended an attempt which began at begun. If the
// latest loss of the server is not earlier than begun, it is the one. Otherwise
// the server was up again in between, and a new loss is added.
func (l *losses) recordCrash(serverID, zone string, begun, now time.Time) *loss {
	if known := l.latest[serverID]; known != nil && !known.at.Before(begun) {
		return known
	}
	return l.add(serverID, zone, now)
}

// recordUnreachable adds a loss that no attempt has observed. It returns nil when
// the server is already known to be down, for example because it is restarting:
// further failed calls to it are no new loss and must not explain crashes.
func (l *losses) recordUnreachable(serverID, zone string, now time.Time) *loss {
	if l.down[serverID] {
		return nil
	}
	return l.add(serverID, zone, now)
}

// isReportAllowed reports whether another loss in the zone may be reported to
// other instances. They need no more than lossReportsPerZone at about the same
// time.
func (l *losses) isReportAllowed(zone string, now time.Time) bool {
	reports := 0
	for _, known := range l.history {
		if known.reportSent && known.zone == zone && within(known.at, now, lossReportInterval) {
			reports++
		}
	}
	return reports < lossReportsPerZone
}

// recordReported returns the loss that another instance has reported. It adds the
// loss unless it is already known.
func (l *losses) recordReported(serverID, zone string, at time.Time) *loss {
	for i := len(l.history) - 1; i >= 0; i-- {
		known := l.history[i]
		if known.serverID == serverID && within(known.at, at, sameCrashWindow) {
			return known
		}
	}
	added := l.add(serverID, zone, at)
	added.fromOtherInstance = true
	return added
}

func (l *losses) add(serverID, zone string, at time.Time) *loss {
	if len(l.history) >= maxLosses {
		l.dropOldest()
	}
	added := &loss{serverID: serverID, zone: zone, at: at, running: make(map[uint64]struct{})}
	l.history = append(l.history, added)
	if newest := l.latest[serverID]; newest == nil || !at.Before(newest.at) {
		l.latest[serverID] = added
		l.down[serverID] = true
	}
	return added
}

func (l *losses) dropOldest() {
	oldest := l.history[0]
	l.history[0] = nil
	l.history = l.history[1:]
	if l.latest[oldest.serverID] == oldest {
		delete(l.latest, oldest.serverID)
		delete(l.down, oldest.serverID)
	}
}

// markUp records that a server has replied.
func (l *losses) markUp(serverID string) { delete(l.down, serverID) }

// explains reports whether a crash of the request is part of a correlated loss:
// another server of the zone, which was not running the request, was lost at about
// the same time.
func (l *losses) explains(fingerprint uint64, c crash) bool {
	for _, other := range l.history {
		if other.serverID == c.serverID || other.zone != c.zone || !within(other.at, c.at, other.correlationWindow()) {
			continue
		}
		if _, ran := other.running[fingerprint]; !ran {
			return true
		}
	}
	return false
}
