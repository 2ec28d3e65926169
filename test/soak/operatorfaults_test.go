package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// coldTime is how long servers are slow after a cold return.
const coldTime = 3 * time.Second

// restoreOutage is how long the store is away before it returns from a copy.
const restoreOutage = 300 * time.Millisecond

// operatorFaults are played with the seeds, but not with the regressions: more faults to draw from
// would change the sequences of these.
var operatorFaults = []fault{
	{"evacuate", func(s *system, random *rand.Rand, length time.Duration) {
		zone := pick(random, zones)
		s.evacuate(zone, true)
		time.Sleep(length)
		s.evacuate(zone, false)
	}},
	{"cold-return", func(s *system, random *rand.Rand, length time.Duration) {
		zone := pick(random, zones)
		s.writeZone(zone, func(int) string { return "" })
		time.Sleep(length)
		s.writeZone(zone, func(n int) string { return s.servers[n].ColdEntry(s.addresses[n], "ready", coldTime) })
		time.Sleep(length)
		s.writeZone(zone, func(n int) string { return s.servers[n].Entry(s.addresses[n], "ready") })
	}},
	{"restore", func(s *system, _ *rand.Rand, length time.Duration) {
		before := s.store.Snapshot()
		time.Sleep(length)
		s.store.ForceStatus(http.StatusServiceUnavailable)
		time.Sleep(restoreOutage)
		s.store.Restore(before)
		s.nextEra()
		s.store.ForceStatus(0)
		s.writeAgain()
	}},
}

// writeZone writes the entries of all servers of a zone; an empty one removes the entry.
func (s *system) writeZone(zone string, entry func(n int) string) {
	for n, server := range s.servers {
		if server.Zone == zone {
			s.store.Write(platformtest.PrefixServers+server.ID, entry(n))
		}
	}
}

// nextEra states a higher era of the store than ever before.
func (s *system) nextEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.store.SetEra(strconv.Itoa(s.era))
}

func (s *system) evacuate(zone string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated[zone] = evacuated
	s.writeEvacuationLocked(zone)
}

func (s *system) writeEvacuationLocked(zone string) {
	value := ""
	if s.evacuated[zone] {
		value = "{}"
	}
	s.store.Write(platformtest.PrefixEvacuate+zone, value)
}

// writeAgain writes what servers and the operator write again after a restore of the store.
func (s *system) writeAgain() {
	for n := range s.servers {
		s.list(n, "ready")
	}
	s.mu.Lock()
	for _, zone := range zones {
		s.writeEvacuationLocked(zone)
	}
	s.mu.Unlock()
	s.publish()
}
