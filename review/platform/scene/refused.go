package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case refused: leafs fail part of their requests. Such a leaf has run the request and
// answers 503 without the header that states that it has not.
const (
	refusedClients = 20
	refusedRounds  = 10
	refusedPause   = 200 * time.Millisecond
	refusedBudget  = 8 * time.Second
	refusedWork    = 40 * time.Millisecond
	// failOneIn is the share of the requests that fail, one in three; the largest share of the
	// site's sheet is 0.6.
	failOneIn    = 3
	refusedRoute = `{"name":"r-booking","host":"` + host + `","prefix":"/booking/","route_type":"unsafe","timeout_ms":8000,"target_latency_ms":500,"priority":2,"backend":"fichas","max_attempts":2}`
)

func playRefused(s *scene) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	work := func(string) time.Duration { return refusedWork }
	if err := s.deploy(zones, []string{"zone-a", "zone-b", "zone-c"}, "fichas", refusedRoute, work); err != nil {
		return false, err
	}
	if s.trouble {
		fails := spreadWork(0, failOneIn*time.Second) // used as a hash of the operation
		for _, l := range s.leafs {
			l.status = func(operation string) int {
				if fails(operation) < time.Second {
					return http.StatusServiceUnavailable
				}
				return http.StatusOK
			}
		}
		s.note("the leafs fail one in %d operations after running them", failOneIn)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var attempts []attempt
	for n := range refusedClients {
		clients.Go(func() {
			mine := refusedClient(s, n)
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, mine...)
		})
	}
	clients.Wait()
	return s.judgeRefused(attempts), nil
}

// refusedClient sends operations. After a promise that an attempt has not run, it sends the
// operation once more, with a new id, on a new connection to another node.
func refusedClient(s *scene, n int) []attempt {
	var out []attempt
	for k := range refusedRounds {
		operation := fmt.Sprintf("booking-%d-%d", n, k)
		for try := range 2 {
			conn, err := connect(s.relays[(n+try)%len(s.relays)])
			if err != nil {
				s.note("client %d cannot connect: %v", n, err)
				break
			}
			a := conn.post("/booking/"+operation, fmt.Sprintf("%08x%02x%02x", n+1, k, try), operation, refusedBudget)
			conn.close()
			out = append(out, a)
			if !promisesNotRun(a.status) {
				break
			}
			time.Sleep(a.retryAfter)
		}
		time.Sleep(refusedPause)
	}
	return out
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeRefused applies REFUSED: a request that isn't idempotent is answered with a promise and
// has run.
func (s *scene) judgeRefused(attempts []attempt) (broken bool) {
	runs := s.runs()
	refused, falsely, twice := 0, 0, 0
	runsOfOperation := map[string]int{}
	for _, a := range attempts {
		s.noteAttempt(a, runs[a.id])
		ran := 0
		for _, r := range runs[a.id] {
			if !r.began.IsZero() {
				ran++
			}
		}
		runsOfOperation[a.operation] += ran
		if promisesNotRun(a.status) {
			refused++
			if ran > 0 {
				falsely++
				s.noteAt(a.ended, "REFUSED: %s was answered %d and had run", a.id, a.status)
			}
		}
	}
	for operation, n := range runsOfOperation {
		if n > 1 {
			twice++
			s.note("operation %s ran %d times, since its client was told that it had not run", operation, n)
		}
	}
	s.note("%d attempts: %d answered as not run, of these %d had run (REFUSED); %d operations ran more than once", len(attempts), refused, falsely, twice)
	return falsely > 0
}
