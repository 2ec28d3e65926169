package main

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

// The case stop: a planned stop of one process while its clients hold connections on which
// they send a request now and then.
const (
	stopClients  = 150
	stopPeriod   = 9 * time.Second // between two requests of a client; below four fifths of idle_timeout_ms
	stopWarmUp   = 10 * time.Second
	stopBudget   = 8 * time.Second
	minStopWork  = 250 * time.Millisecond
	maxStopWork  = 700 * time.Millisecond // below the longest work of the site's sheet, 720 ms
	lateInGrace  = 3 * time.Second        // requests that are sent later after SIGTERM have no excuse
	afterStop    = 2 * time.Second
	stopRoute    = `{"name":"r-booking","host":"` + host + `","prefix":"/booking/","route_type":"unsafe","timeout_ms":8000,"target_latency_ms":500,"priority":2,"backend":"fichas","max_attempts":2}`
	lastOfGrace  = graceTime - graceTime/6
	windowOfStop = graceTime + time.Second
)

// spreadWork returns a work time between two bounds that depends on the operation alone.
func spreadWork(least, most time.Duration) func(string) time.Duration {
	return func(operation string) time.Duration {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(operation)) // never fails
		return least + time.Duration(hash.Sum32()%1000)*(most-least)/1000
	}
}

func playStop(s *scene) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"}
	if err := s.deploy(zones, []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}, "fichas", stopRoute, spreadWork(minStopWork, maxStopWork)); err != nil {
		return false, err
	}
	stopped := s.relays[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	var attempts []attempt
	traffic := time.Now()
	end := traffic.Add(stopWarmUp + windowOfStop + afterStop)
	for n := range stopClients {
		clients.Go(func() {
			mine := stopClient(s, n, traffic, end)
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, mine...)
		})
	}
	time.Sleep(time.Until(traffic.Add(stopWarmUp)))
	if s.trouble {
		s.note("SIGTERM to %s", stopped.id)
		if err := stopped.terminate(); err != nil {
			return false, err
		}
		select {
		case <-stopped.exited:
			s.noteAt(stopped.exitedAt, "%s has ended, %d ms after SIGTERM", stopped.id, stopped.exitedAt.Sub(stopped.terminated).Milliseconds())
		case <-time.After(graceTime):
			s.note("%s gets SIGKILL after grace_s", stopped.id)
			stopped.kill()
		}
	}
	clients.Wait()
	time.Sleep(100 * time.Millisecond) // the leafs notice the ends of connections
	return s.judgeStop(stopped, attempts), nil
}

// stopClient sends a request each period on one connection. It connects again, to a process
// that is in rotation, when the connection has closed.
func stopClient(s *scene, n int, traffic, end time.Time) []attempt {
	var out []attempt
	var conn *connection
	defer func() {
		if conn != nil {
			conn.close()
		}
	}()
	node := s.relays[0]
	for k := 0; ; k++ {
		at := traffic.Add(stopPeriod*time.Duration(n)/stopClients + time.Duration(k)*stopPeriod)
		if at.After(end) {
			return out
		}
		time.Sleep(time.Until(at))
		operation := fmt.Sprintf("booking-%d-%d", n, k)
		for try := range 2 {
			if conn != nil && conn.closedByPeer() {
				conn.close()
				conn = nil
			}
			if conn == nil {
				// New connections go to other nodes once a stop has begun.
				if s.trouble && time.Since(traffic) > stopWarmUp {
					node = s.relays[1+(n+try)%(len(s.relays)-1)]
				}
				fresh, err := connect(node)
				if err != nil {
					s.note("client %d cannot connect to %s: %v", n, node.id, err)
					continue
				}
				conn = fresh
			}
			a := conn.post("/booking/"+operation, fmt.Sprintf("%08x%02x%02x", n+1, k, try), operation, stopBudget)
			if a.closed {
				conn.close()
				conn = nil
			}
			out = append(out, a)
			if !promisesNotRun(a.status) {
				break // only a promise allows an unsafe request to be sent again
			}
			time.Sleep(a.retryAfter)
		}
	}
}

// judgeStop applies LOST for planned work: a whole request was read and passed on to a leaf, and
// its connection ended without a complete answer.
func (s *scene) judgeStop(stopped *relay, attempts []attempt) (broken bool) {
	runs := s.runs()
	answered, promised, lost, excused := 0, 0, 0, 0
	for _, a := range attempts {
		s.noteAttempt(a, runs[a.id])
		switch {
		case promisesNotRun(a.status):
			promised++
		case a.status != 0:
			answered++
		case len(runs[a.id]) == 0:
			s.note("%s did not reach a leaf", a.id) // it may have crossed the close
		case a.ended.Sub(a.sent) >= stopBudget:
			s.note("%s reached its time budget", a.id)
		case s.excusedAtStop(stopped, a, runs[a.id]):
			excused++
		default:
			lost++
			s.noteAt(a.ended, "LOST: %s, sent %d ms after SIGTERM and run by a leaf, ended without an answer", a.id, a.sent.Sub(stopped.terminated).Milliseconds())
		}
	}
	s.note("%d attempts: %d answered, %d refused as not run, %d cut but excused, %d LOST", len(attempts), answered, promised, excused, lost)
	return lost > 0
}

// excusedAtStop reports whether a leaf was still at work in the last sixth of grace_s on a request
// that was sent no later than 3 s after the SIGTERM, or broke off itself.
func (s *scene) excusedAtStop(stopped *relay, a attempt, runs []run) bool {
	if a.node != stopped.id || stopped.terminated.IsZero() {
		return false
	}
	if a.sent.Sub(stopped.terminated) > lateInGrace {
		return false
	}
	for _, r := range runs {
		if r.ended.IsZero() || r.ended.Sub(stopped.terminated) >= lastOfGrace {
			return true
		}
	}
	return false
}
