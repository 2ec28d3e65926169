package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// The case crash: one request crashes each leaf that begins to run it. Its caller sends it again
// every few seconds, each time at several machines at once, as clients do that don't wait as
// instructed.
const (
	crashWaves      = 6
	crashPause      = 5 * time.Second
	crashAtOnce     = 4 // the first attempt and three more, the largest dose of retry_abuse
	crashRestart    = 2 * time.Second
	crashBudget     = 8 * time.Second
	crashOperation  = "crashing"
	bystanders      = 20
	bystanderPause  = 300 * time.Millisecond
	minCrashWork    = 50 * time.Millisecond
	maxCrashWork    = 300 * time.Millisecond
	stabilityWindow = 4 * time.Second
	maxLateRetries  = 3
	crashRoute      = `{"name":"r-booking","host":"` + host + `","prefix":"/booking/","route_type":"unsafe","timeout_ms":8000,"target_latency_ms":500,"priority":2,"backend":"fichas","max_attempts":2}`
)

// crash ends the leaf: its connections are lost, and it is back some seconds later under the id
// that it had.
func (s *scene) crash(l *leaf) {
	l.close()
	go func() {
		time.Sleep(crashRestart)
		if err := s.restart(l); err != nil {
			s.note("%s could not start again: %v", l.id, err)
		}
	}()
}

func (s *scene) restart(l *leaf) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.connections, l.sequence = listener, 0, 0
	l.server = &http.Server{Handler: l, ConnState: l.countConnection}
	l.born = time.Now()
	server := l.server
	l.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Close
	s.store.Write(platformtest.PrefixServers+l.id, l.entry("ready"))
	return nil
}

func playCrash(s *scene) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"}
	if err := s.deploy(zones, []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}, "fichas", crashRoute, spreadWork(minCrashWork, maxCrashWork)); err != nil {
		return false, err
	}
	for _, l := range s.leafs {
		l.crashes = func(operation string) bool { return operation == crashOperation }
		l.onCrash = s.crash
	}
	end := time.Now().Add(crashWaves * crashPause)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var attempts []attempt
	keep := func(a attempt) {
		mu.Lock()
		defer mu.Unlock()
		attempts = append(attempts, a)
	}
	for n := range bystanders {
		clients.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				operation := fmt.Sprintf("booking-%d-%d", n, k)
				if a, ok := s.postOnce(s.relays[(n+k)%len(s.relays)], operation, fmt.Sprintf("%08x%04x", n+1, k), crashBudget); ok {
					keep(a)
				}
				time.Sleep(bystanderPause)
			}
		})
	}
	for wave := 0; s.trouble && wave < crashWaves; wave++ {
		for p := range crashAtOnce {
			clients.Go(func() {
				if a, ok := s.postOnce(s.relays[(wave+p)%len(s.relays)], crashOperation, fmt.Sprintf("ffff%04x%04x", wave, p), crashBudget); ok {
					keep(a)
				}
			})
		}
		time.Sleep(crashPause)
	}
	clients.Wait()
	return s.judgeCrash(attempts), nil
}

// postOnce sends an operation on a connection of its own. It returns false if there was none.
func (s *scene) postOnce(r *relay, operation, id string, budget time.Duration) (attempt, bool) {
	conn, err := connect(r)
	if err != nil {
		s.note("%s cannot be sent to %s: %v", id, r.id, err)
		return attempt{}, false
	}
	defer conn.close()
	return conn.post("/booking/"+operation, id, operation, budget), true
}

// judgeCrash applies BUDGET: a request that crashes the leafs that run it reaches leafs in more
// than three retries later than stability_window_ms after it has crashed the third.
func (s *scene) judgeCrash(attempts []attempt) (broken bool) {
	runs := s.runs()
	var crashes, lost []time.Time
	for _, a := range attempts {
		s.noteAttempt(a, runs[a.id])
		for _, r := range runs[a.id] {
			switch {
			case r.operation == crashOperation && !r.began.IsZero():
				crashes = append(crashes, r.began)
			case r.operation != crashOperation && !r.began.IsZero() && a.status != http.StatusOK:
				lost = append(lost, a.ended)
				s.noteAt(a.ended, "work of another client is lost: %s was at work at %s and was answered %d", a.id, r.leaf, a.status)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late, lostLate := 0, 0
	for n, at := range crashes {
		if n >= 3 && at.Sub(crashes[2]) > stabilityWindow {
			late++
			s.noteAt(at, "late: the request has crashed another leaf, %.1f s after the third", at.Sub(crashes[2]).Seconds())
		}
	}
	for _, at := range lost {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > stabilityWindow {
			lostLate++
		}
	}
	s.note("%d attempts; %d leafs crashed, %d of them later than stability_window_ms after the third (BUDGET: more than %d); %d runs of other clients lost, %d of them as late",
		len(attempts), len(crashes), late, maxLateRetries, len(lost), lostLate)
	return late > maxLateRetries
}
