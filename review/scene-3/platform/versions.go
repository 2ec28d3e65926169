package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const (
	// idleRoutes makes a desired state of just under value_bytes (1,048,576).
	idleRoutes = 5800
	// changeGap and stormTime are gap_s and for_s of a config_storm, and stormPause is the pause
	// between two of them.
	changeGap  = 330 * time.Millisecond
	stormTime  = 4 * time.Second
	stormPause = 50 * time.Millisecond
	// versionsTime is how long the storms come one after the other.
	versionsTime = 102 * time.Second
	// restartAfter is how long after its end a process is started again.
	restartAfter = 500 * time.Millisecond
)

// lostRequest is a request that ended without an answer.
type lostRequest struct {
	machine string
	outcome outcome
}

// playVersions lets desired states follow one another. It returns whether the rule held.
func playVersions(program string, r *record, trouble bool) (held bool, err error) {
	s, err := newScene(program, func(s *scene, _ string) (string, error) { return s.store.Address(), nil })
	if err != nil {
		return false, err
	}
	defer s.end()
	t := table{version: 1, single: "fichas", timeout: 8000, idle: idleRoutes}
	for i := range 4 {
		name := fmt.Sprintf("agenda-%d", i)
		t.shards = append(t.shards, name)
		for z := range 2 {
			s.addServer(fmt.Sprintf("%s-%d", name, z), name, zones[z], 15*time.Millisecond)
		}
	}
	for z := range zones {
		s.addServer(fmt.Sprintf("fichas-%d", z), "fichas", zones[z], 120*time.Millisecond)
	}
	text := t.text()
	if len(text) > 1<<20 {
		return false, fmt.Errorf("the desired state has %d bytes, more than value_bytes", len(text))
	}
	s.store.Write(platformtest.KeyTable, text)
	r.line("operator: version %d of %d bytes acknowledged", t.version, len(text))

	ended := make(chan struct{})
	var restarts sync.WaitGroup
	for _, m := range s.machines {
		if err := m.start(nil); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	r.line("all instances ready")

	// The platform kills a process that exceeds its memory, and starts it again.
	killed := 0
	var mu sync.Mutex
	most := 0.0
	watchMemory := func(m *machine) {
		defer restarts.Done()
		for {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
			used := m.anonymousMB()
			mu.Lock()
			most = max(most, used)
			mu.Unlock()
			if used <= memoryMB {
				continue
			}
			mu.Lock()
			killed++
			mu.Unlock()
			r.line("platform: %s uses %.0f MB of %d, killed", m.name, used, memoryMB)
			m.stop()
			select {
			case <-ended:
				return
			case <-time.After(restartAfter):
			}
			if err := m.start(nil); err != nil {
				r.line("platform: %s not started again: %v", m.name, err)
				return
			}
			r.line("platform: %s started again", m.name)
		}
	}
	for _, m := range s.machines {
		restarts.Add(1)
		go watchMemory(m)
	}

	var callers sync.WaitGroup
	var lost []lostRequest
	answered, others := 0, 0
	for _, m := range s.machines {
		for n := range 3 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				c := &caller{name: fmt.Sprintf("%s-c%d", m.name, n), target: m.front()}
				defer c.close()
				for {
					select {
					case <-ended:
						return
					case <-time.After(50 * time.Millisecond):
					}
					o := c.get(host, "/profile/"+c.name, 8*time.Second)
					mu.Lock()
					switch {
					case o.status == 200:
						answered++
					case o.status != 0 || !o.kept || !o.read:
						others++
					default:
						lost = append(lost, lostRequest{m.name, o})
					}
					mu.Unlock()
				}
			}()
		}
	}

	began := time.Now()
	for changes, enough := 0, false; time.Since(began) < versionsTime && !enough; {
		for storm := time.Now(); time.Since(storm) < stormTime; time.Sleep(changeGap) {
			if trouble {
				changes++
				t.version += 3
				t.timeout = 8000 + changes%2
				s.store.Write(platformtest.KeyTable, t.text())
			}
		}
		mu.Lock()
		r.line("operator: %d changes so far; answered %d, other %d; an instance uses at most %.0f MB; killed %d", changes, answered, others, most, killed)
		enough = killed >= len(s.machines)
		mu.Unlock()
		time.Sleep(stormPause)
	}
	time.Sleep(time.Second)
	close(ended)
	for _, m := range s.machines {
		m.signal(syscall.SIGCONT)
	}
	callers.Wait()
	restarts.Wait()

	passedOn := 0
	for _, l := range lost {
		for _, server := range s.servers {
			if server.Runs()[l.outcome.id] > 0 {
				passedOn++
				r.line("request %s on a kept connection to %s: run by %s, connection ended without an answer after %d ms: %v",
					l.outcome.id, l.machine, server.ID, l.outcome.took.Milliseconds(), l.outcome.err)
				break
			}
		}
	}
	r.line("answered %d, other %d, passed on and ended without an answer %d, processes killed %d, most memory %.0f MB", answered, others, passedOn, killed, most)
	return passedOn <= 3, nil
}
