package standin

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// DefaultRestartDelay is the time that a crashed backend server stays down.
const DefaultRestartDelay = 2 * time.Second

// MaxDrainGrace is the longest time for which a leaving backend server may
// receive new requests; a longer grace does not excuse later ones.
const MaxDrainGrace = 3 * time.Second

// A cold server refuses for its cold time and is slow for as long again.
const coldSlowdown = 3

// backendFaults are the faults that are on. The zero value is none.
type backendFaults struct {
	mu           sync.Mutex
	slowdown     float64 // factor on service times; 0 is 1
	coldFor      time.Duration
	drainedAt    time.Time // zero while not draining
	drainGrace   time.Duration
	crashOn      bool
	restartAfter time.Duration
	reply        *ReplyFault
}

// SetStraggler multiplies service times by factor; 1 ends the fault.
func (s *BackendServer) SetStraggler(factor float64) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.slowdown = factor
}

// SetColdStart makes the server refuse requests for a time after each start
// and run them slowly for as long again.
func (s *BackendServer) SetColdStart(coldFor time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.coldFor = coldFor
}

// Drain marks replies as draining at once and refuses requests after grace.
func (s *BackendServer) Drain(grace time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.drainedAt = time.Now()
	s.faults.drainGrace = grace
}

// EndDrain ends the drain.
func (s *BackendServer) EndDrain() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.drainedAt = time.Time{}
}

// SetCrash makes queries that end in CrashMarker crash the server, which
// restarts after the given time.
func (s *BackendServer) SetCrash(on bool, restartAfter time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.crashOn = on
	s.faults.restartAfter = restartAfter
}

// SetReplyFault makes replies wrong; nil ends the fault.
func (s *BackendServer) SetReplyFault(fault *ReplyFault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.reply = fault
}

// Silence makes the connections that are open now stop answering for good.
// New connections work.
func (s *BackendServer) Silence() { s.conns.silence() }

// SetSnapshots sets the versions that the server serves.
func (s *BackendServer) SetSnapshots(versions ...int64) {
	sorted := append([]int64(nil), versions...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a] < sorted[b] })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = sorted
}

// Crash takes the server down and restarts it after the given time.
func (s *BackendServer) Crash(restartAfter time.Duration) {
	s.counters.crashes.Add(1)
	s.Lose()
	time.AfterFunc(restartAfter, func() { _ = s.Restore() })
}

func (f *backendFaults) factor(age time.Duration) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	factor := f.slowdown
	if factor <= 0 {
		factor = 1
	}
	if age < 2*f.coldFor {
		factor *= coldSlowdown
	}
	return factor
}

func (f *backendFaults) cold(age time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return age < f.coldFor
}

func (f *backendFaults) draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.drainedAt.IsZero()
}

func (f *backendFaults) drained(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.drainedAt.IsZero() && now.Sub(f.drainedAt) >= f.drainGrace
}

// mustBeIdle reports whether no request may arrive any more.
func (f *backendFaults) mustBeIdle(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.drainedAt.IsZero() && now.Sub(f.drainedAt) >= min(f.drainGrace, MaxDrainGrace)
}

func (f *backendFaults) crashes(query string) (restartAfter time.Duration, crash bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restartAfter, f.crashOn && strings.HasSuffix(query, CrashMarker)
}

func (f *backendFaults) replyFault() *ReplyFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reply
}
