package snapshot

import (
	"slices"
	"sync"
	"time"
)

// servedTTL bounds how long a statement of a backend server is trusted. Replies
// renew it; a backend server that is not asked may load or drop snapshots unseen.
const servedTTL = 10 * time.Second

// loadTime is how long a statement rules out snapshots newer than the stated
// ones. Older ones stay ruled out, since a dropped snapshot does not come back.
const loadTime = 100 * time.Millisecond

// Knowledge is what is known about one snapshot on one backend server.
type Knowledge int

// Degrees of knowledge, in rising order of usefulness.
const (
	Absent Knowledge = iota
	Unknown
	Present
)

// Served records which snapshots each backend server stated in its replies.
// It is safe for concurrent use.
type Served struct {
	mu      sync.RWMutex
	servers map[string]statement // by backend server id; guarded by mu
}

type statement struct {
	versions []int64
	at       time.Time
}

// NewServed returns an empty record.
func NewServed() *Served {
	return &Served{servers: make(map[string]statement)}
}

// Learn stores the snapshots that a backend server stated at now.
func (s *Served) Learn(serverID string, versions []int64, now time.Time) {
	if len(versions) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[serverID] = statement{versions: versions, at: now}
}

// Forget drops what is known about a backend server.
func (s *Served) Forget(serverID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, serverID)
}

// Knows returns what is known about a snapshot on a backend server.
func (s *Served) Knows(serverID string, version int64, now time.Time) Knowledge {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stated, ok := s.servers[serverID]
	if !ok || now.Sub(stated.at) > servedTTL {
		return Unknown
	}
	if slices.Contains(stated.versions, version) {
		return Present
	}
	if version > slices.Max(stated.versions) && now.Sub(stated.at) > loadTime {
		return Unknown // it may have been loaded since
	}
	return Absent
}
