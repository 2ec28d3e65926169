package crashguard

import "time"

// loss is one outage of a backend server. Running holds the requests that are
// known to have been in flight on it.
type loss struct {
	serverID string
	zone     string
	at       time.Time
	running  map[uint64]struct{}
	learned  bool // from another instance's report
	reported bool // to other instances, without a request
}

func (l *loss) window() time.Duration {
	if l.learned {
		return reportedWindow
	}
	return CorrelationWindow
}

// losses is the bounded history of outages, oldest first, and the newest
// outage of each server in it.
type losses struct {
	history []*loss
	latest  map[string]*loss // by server id
	down    map[string]bool  // servers that have not replied since their latest outage
}

func newLosses() losses {
	return losses{latest: make(map[string]*loss), down: make(map[string]bool)}
}

// crashed returns the outage that ended an attempt which began at the given
// time. An outage that is dated later than the beginning is that one;
// otherwise the server was up again and this is a new outage.
func (l *losses) crashed(serverID, zone string, begun, now time.Time) *loss {
	if known := l.latest[serverID]; known != nil && !known.at.Before(begun) {
		return known
	}
	return l.add(serverID, zone, now)
}

// unreachable records an outage that no attempt has observed. Failed calls to a
// server that is known to be down, for example while it restarts, are no new
// outage and must not explain crashes. It returns nil then.
func (l *losses) unreachable(serverID, zone string, now time.Time) *loss {
	if l.down[serverID] {
		return nil
	}
	return l.add(serverID, zone, now)
}

// mayReport reports whether other instances need to hear of another outage of
// the zone.
func (l *losses) mayReport(zone string, now time.Time) bool {
	reports := 0
	for _, known := range l.history {
		if known.reported && known.zone == zone && within(known.at, now, lossReportSpacing) {
			reports++
		}
	}
	return reports < lossReportsPerZone
}

// reported returns the outage that another instance has observed.
func (l *losses) reported(serverID, zone string, at time.Time) *loss {
	for i := len(l.history) - 1; i >= 0; i-- {
		known := l.history[i]
		if known.serverID == serverID && within(known.at, at, sameCrashWindow) {
			return known
		}
	}
	added := l.add(serverID, zone, at)
	added.learned = true
	return added
}

func (l *losses) add(serverID, zone string, at time.Time) *loss {
	if len(l.history) >= maxLosses {
		l.forgetOldest()
	}
	added := &loss{serverID: serverID, zone: zone, at: at, running: make(map[uint64]struct{})}
	l.history = append(l.history, added)
	if newest := l.latest[serverID]; newest == nil || !at.Before(newest.at) {
		l.latest[serverID] = added
		l.down[serverID] = true
	}
	return added
}

func (l *losses) forgetOldest() {
	oldest := l.history[0]
	l.history[0] = nil
	l.history = l.history[1:]
	if l.latest[oldest.serverID] == oldest {
		delete(l.latest, oldest.serverID)
		delete(l.down, oldest.serverID)
	}
}

// up records that a server replies.
func (l *losses) up(serverID string) { delete(l.down, serverID) }

// explain reports whether a crash of a request is part of a correlated loss:
// another server of the zone was lost at about the same time without it.
func (l *losses) explain(fingerprint uint64, c crash) bool {
	for _, other := range l.history {
		if other.serverID == c.serverID || other.zone != c.zone || !within(other.at, c.at, other.window()) {
			continue
		}
		if _, ran := other.running[fingerprint]; !ran {
			return true
		}
	}
	return false
}
