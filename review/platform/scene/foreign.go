package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// The case foreign: another writer has rewritten the entry of a leaf of the service avisos. The
// entry lacks the field version, so it names no leaf to use, and it names the service fichas.
const (
	foreignClients = 12
	foreignRounds  = 20
	foreignPause   = 200 * time.Millisecond
	foreignSettle  = 4 * time.Second // longer than a change takes to reach all processes
	foreignBudget  = 8 * time.Second
	foreignWork    = 40 * time.Millisecond
	foreignRoutes  = `{"name":"r-card","host":"` + host + `","prefix":"/card/","route_type":"unsafe","timeout_ms":8000,"target_latency_ms":500,"priority":2,"backend":"fichas","max_attempts":2},` +
		`{"name":"r-notice","host":"` + host + `","prefix":"/notice/","route_type":"unsafe","timeout_ms":8000,"target_latency_ms":500,"priority":2,"backend":"avisos","max_attempts":2}`
)

func playForeign(s *scene) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	work := func(string) time.Duration { return foreignWork }
	if err := s.deploy(zones, zones, "fichas", foreignRoutes, work); err != nil {
		return false, err
	}
	for n, zone := range zones {
		if _, err := s.addLeaf(n+1, "avisos", zone, work); err != nil {
			return false, err
		}
	}
	rewritten := s.leafs[len(zones)]
	if s.trouble {
		s.store.Write(platformtest.PrefixServers+rewritten.id, fmt.Sprintf(
			`{"backend":"fichas","address":%q,"zone":%q,"capacity":%d,"state":"ready","warmup_left_ms":0,"sequence":90,"born":1700000000000}`,
			rewritten.listener.Addr().String(), rewritten.zone, rewritten.slots))
		s.note("another writer has rewritten the entry of %s: service fichas instead of avisos, no version", rewritten.id)
	}
	time.Sleep(foreignSettle)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var attempts []attempt
	for n := range foreignClients {
		clients.Go(func() {
			for k := range foreignRounds {
				operation := fmt.Sprintf("card-%d-%d", n, k)
				conn, err := connect(s.relays[n%len(s.relays)])
				if err != nil {
					s.note("client %d cannot connect: %v", n, err)
					continue
				}
				a := conn.post("/card/"+operation, fmt.Sprintf("%08x%04x", n+1, k), operation, foreignBudget)
				conn.close()
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(foreignPause)
			}
		})
	}
	clients.Wait()
	return s.judgeForeign(attempts), nil
}

// judgeForeign applies ROUTE: all requests are on the route to fichas, so only its leafs may run
// them.
func (s *scene) judgeForeign(attempts []attempt) (broken bool) {
	services := map[string]string{}
	for _, l := range s.leafs {
		services[l.id] = l.service
	}
	runs := s.runs()
	foreign := 0
	for _, a := range attempts {
		s.noteAttempt(a, runs[a.id])
		for _, r := range runs[a.id] {
			if service := services[r.leaf]; service != "fichas" && !r.began.IsZero() {
				foreign++
				s.noteAt(r.began, "ROUTE: %s, sent on the route to fichas, was run by %s of %s; the client got %d with seal %s", a.id, r.leaf, service, a.status, a.seal)
			}
		}
	}
	s.note("%d attempts, %d run by a service that their route does not name (ROUTE)", len(attempts), foreign)
	return foreign > 0
}
