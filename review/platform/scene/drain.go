package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// The case drain: most leafs leave a part of their requests without an answer, and three of the
// five are emptied and taken away meanwhile.
const (
	drainClients  = 24
	drainPeriod   = time.Second // between two requests of a client
	drainLength   = 18 * time.Second
	drainBudget   = 8 * time.Second
	minDrainWork  = 60 * time.Millisecond
	maxDrainWork  = 180 * time.Millisecond
	slowBegins    = 2 * time.Second
	slowLasts     = 8 * time.Second
	slowFactor    = 12 // the largest dose of srv_slow
	muteBegins    = 2 * time.Second
	muteLasts     = 9 * time.Second // this and the shares are the largest dose of srv_grey
	mutePerMille  = 600             // requests without an answer
	drainFirst    = 8300 * time.Millisecond
	drainGap      = 300 * time.Millisecond
	leafEndsAfter = drainTime + time.Second // a leaf serves drain_ms and a little longer
	drainRoute    = `{"name":"r-booking","host":"` + host + `","prefix":"/booking/","route_type":"unsafe","timeout_ms":8000,"target_latency_ms":500,"priority":2,"backend":"fichas","max_attempts":2}`
	drainedAtMost = 3
	mutedLeafs    = 4
	perMille      = 1000
)

func playDrain(s *scene) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"}
	var traffic time.Time
	usual := spreadWork(minDrainWork, maxDrainWork)
	work := func(operation string) time.Duration {
		if since := time.Since(traffic); s.trouble && since > slowBegins && since < slowBegins+slowLasts {
			return slowFactor * usual(operation)
		}
		return usual(operation)
	}
	if err := s.deploy(zones, []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}, "fichas", drainRoute, work); err != nil {
		return false, err
	}
	traffic = time.Now()
	if s.trouble {
		hash := spreadWork(0, perMille) // 0 to 999, evenly
		for _, l := range s.leafs[:mutedLeafs] {
			l.mute = func(operation string) bool {
				since := time.Since(traffic)
				return since > muteBegins && since < muteBegins+muteLasts && hash(l.id+operation) < mutePerMille
			}
		}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var attempts []attempt
	for n := range drainClients {
		clients.Go(func() {
			var own sync.WaitGroup
			for k := 0; ; k++ {
				at := traffic.Add(drainPeriod*time.Duration(n)/drainClients + time.Duration(k)*drainPeriod)
				if at.Sub(traffic) > drainLength {
					break
				}
				time.Sleep(time.Until(at))
				own.Go(func() {
					if a, ok := s.postOnce(s.relays[n%len(s.relays)], fmt.Sprintf("booking-%d-%d", n, k), fmt.Sprintf("%08x%04x", n+1, k), drainBudget); ok {
						mu.Lock()
						defer mu.Unlock()
						attempts = append(attempts, a)
					}
				})
			}
			own.Wait()
		})
	}
	for n, l := range s.leafs[:drainedAtMost] {
		time.Sleep(time.Until(traffic.Add(drainFirst + time.Duration(n)*drainGap)))
		s.store.Write(platformtest.PrefixServers+l.id, l.entry("draining"))
		l.leavingAcked = time.Now()
		s.note("%s drains, acknowledged by the store", l.id)
		clients.Go(func() {
			time.Sleep(leafEndsAfter)
			l.close()
			s.store.Write(platformtest.PrefixServers+l.id, "")
			s.note("%s has ended", l.id)
		})
	}
	clients.Wait()
	return s.judgeDrain(attempts), nil
}

// judgeDrain applies DRAIN: a request reaches a leaf later than drain_ms after the store has
// acknowledged that it drains. All processes are undisturbed.
func (s *scene) judgeDrain(attempts []attempt) (broken bool) {
	leaving := map[string]time.Time{}
	for _, l := range s.leafs[:drainedAtMost] {
		leaving[l.id] = l.leavingAcked
	}
	runs := s.runs()
	late, lost := 0, 0
	for _, a := range attempts {
		s.noteAttempt(a, runs[a.id])
		for _, r := range runs[a.id] {
			acked, leaves := leaving[r.leaf]
			if !leaves || r.arrived.Sub(acked) <= drainTime {
				continue
			}
			late++
			s.noteAt(r.arrived, "DRAIN: %s reached %s %d ms after the store had acknowledged that it drains; the client got %d", a.id, r.leaf, r.arrived.Sub(acked).Milliseconds(), a.status)
			if a.status != http.StatusOK {
				lost++
			}
		}
	}
	s.note("%d attempts; %d reached a leaf later than drain_ms (DRAIN), %d of these were not answered with success", len(attempts), late, lost)
	return late > 0
}
