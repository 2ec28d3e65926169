package snapshot

import (
	"slices"
	"sync"
	"time"
)

// reportTTL is how long a backend server's report of its snapshots is trusted.
// Each reply renews the report; without replies, the server may load and drop
// snapshots without this instance noticing.
const reportTTL = 10 * time.Second

// newerAbsentTTL is how long a report proves that the backend server lacks
// snapshots newer than all reported ones, since it may load them afterwards. For
// other unreported snapshots the proof holds for reportTTL, because a server does
// not load a snapshot again after dropping it.
const newerAbsentTTL = 100 * time.Millisecond

// Availability states whether a backend server is known to have a snapshot.
type Availability int

// Values of Availability, in ascending order of preference.
const (
	Absent  Availability = iota // the server reported its snapshots without this one
	Unknown                     // no recent report shows whether the server has it
	Present                     // the server reported this snapshot
)

// KnownSnapshots records which snapshots each backend server reported in its
// replies. It is safe for concurrent use.
type KnownSnapshots struct {
	mu      sync.RWMutex
	reports map[string]snapshotReport // by backend server id; guarded by mu
}

// snapshotReport is the last report of one backend server.
type snapshotReport struct {
	versions   []int64
	receivedAt time.Time
}

// NewKnownSnapshots returns an empty record.
func NewKnownSnapshots() *KnownSnapshots {
	return &KnownSnapshots{reports: make(map[string]snapshotReport)}
}

// Record records the snapshots that a backend server reported at the time now. An
// empty list is not a report and changes nothing.
func (s *KnownSnapshots) Record(serverID string, versions []int64, now time.Time) {
	if len(versions) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[serverID] = snapshotReport{versions: versions, receivedAt: now}
}

// Forget removes the report of a backend server.
func (s *KnownSnapshots) Forget(serverID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reports, serverID)
}

// Availability reports whether a backend server is known to have a snapshot.
func (s *KnownSnapshots) Availability(serverID string, version int64, now time.Time) Availability {
	s.mu.RLock()
	defer s.mu.RUnlock()
	report, ok := s.reports[serverID]
	if !ok || now.Sub(report.receivedAt) > reportTTL {
		return Unknown
	}
	if slices.Contains(report.versions, version) {
		return Present
	}
	if version > slices.Max(report.versions) && now.Sub(report.receivedAt) > newerAbsentTTL {
		return Unknown // the server may have loaded it since the report
	}
	return Absent
}
