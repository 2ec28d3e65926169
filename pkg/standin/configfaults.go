package standin

import (
	"math"
	"net/http"
	"sync"
	"time"
)

// ReaderHeader names the reader of the configuration service for split faults.
const ReaderHeader = "Sycamorelift-Instance"

// OutageKind tells how the configuration service fails while it is down.
type OutageKind string

// Kinds of outages.
const (
	OutageReset OutageKind = "reset" // connections are reset
	OutageHang  OutageKind = "hang"  // calls get no answer
	OutageError OutageKind = "error" // calls get 503
)

// configFaults are the faults that are on. The zero value is none.
type configFaults struct {
	mu     sync.Mutex
	outage OutageKind       // "" is up
	stale  int64            // newest revision shown; 0 is the newest
	split  map[string]int64 // newest revision shown per reader, zone or address
	ended  chan struct{}    // closed when an outage ends; nil while up
}

// SetDown starts an outage.
func (s *ConfigService) SetDown(kind OutageKind) {
	s.faults.mu.Lock()
	s.faults.outage = kind
	if s.faults.ended == nil {
		s.faults.ended = make(chan struct{})
	}
	s.faults.mu.Unlock()
	s.wake()
}

// SetUp ends an outage.
func (s *ConfigService) SetUp() {
	s.faults.mu.Lock()
	s.faults.outage = ""
	if s.faults.ended != nil {
		close(s.faults.ended)
		s.faults.ended = nil
	}
	s.faults.mu.Unlock()
	s.wake()
}

// Outage starts an outage that ends by itself.
func (s *ConfigService) Outage(kind OutageKind, length time.Duration) {
	s.SetDown(kind)
	time.AfterFunc(length, s.SetUp)
}

// SetStale shows every reader the state at an old revision; 0 ends the fault.
func (s *ConfigService) SetStale(revision int64) {
	s.faults.mu.Lock()
	s.faults.stale = revision
	s.faults.mu.Unlock()
	s.wake()
}

// SetSplit shows the readers named in split the state at an old revision.
// A reader is named by its ReaderHeader, its ZoneHeader or the listen address
// that it uses, in this order; nil ends the fault.
func (s *ConfigService) SetSplit(split map[string]int64) {
	copied := make(map[string]int64, len(split))
	for reader, revision := range split {
		copied[reader] = revision
	}
	s.faults.mu.Lock()
	s.faults.split = copied
	s.faults.mu.Unlock()
	s.wake()
}

func (s *ConfigService) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

// asOf returns the newest revision that the reader is shown.
func (f *configFaults) asOf(request *http.Request, address string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := []string{request.Header.Get(ReaderHeader), request.Header.Get(ZoneHeader), address}
	for _, name := range names {
		if revision, ok := f.split[name]; ok {
			return revision
		}
	}
	if f.stale > 0 {
		return f.stale
	}
	return math.MaxInt64
}

func (f *configFaults) down() (OutageKind, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage, f.ended
}
