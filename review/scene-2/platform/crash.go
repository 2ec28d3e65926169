package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const (
	singleServers = 5
	crashPath     = "/once/crash"
	// crashedFor is how long a crashed server is away.
	crashedFor    = 2500 * time.Millisecond
	repeatPause   = time.Second
	repeats       = 8
	downTime      = time.Second // of killed instances
	allowedRepeat = 3           // repeats that may reach servers after the third crash and the stability window
)

// crashing holds the servers of a service that one request crashes.
type crashing struct {
	s *stage

	mu      sync.Mutex
	started int
	servers []*platformtest.Server // all that have run
}

// add starts a server of the service and lists it.
func (c *crashing) add() {
	c.mu.Lock()
	c.started++
	server := platformtest.NewServer(fmt.Sprintf("i-single-%d", c.started), "single", "zone-a")
	server.SetFault(platformtest.Fault{Delay: 10 * time.Millisecond, CrashOn: crashPath})
	c.servers = append(c.servers, server)
	c.mu.Unlock()
	c.s.store.Write(platformtest.PrefixServers+server.ID, server.Entry(server.Address(), "ready"))
}

// send sends the crashing request once more and brings the servers that it has reached back after a
// while, as new ones.
func (c *crashing) send(n int, to *instance) {
	id := c.s.sendCrashing(n, to)
	for _, server := range c.reached(id) {
		c.s.note("%s has crashed under %s", server.ID, id)
		time.AfterFunc(crashedFor, func() {
			c.s.store.Write(platformtest.PrefixServers+server.ID, "")
			c.add()
		})
	}
}

// sendCrashing sends the request that crashes servers to an instance and returns its id.
func (s *stage) sendCrashing(n int, to *instance) string {
	id := fmt.Sprintf("crash-%02d", n)
	request, err := http.NewRequest(http.MethodPost, "http://"+to.caller+crashPath, strings.NewReader("same body"))
	if err != nil {
		return id
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderTimeoutMs, "2000")
	s.note("%s sent to %s", id, to.id)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.note("%s not answered: %v", id, err)
		return id
	}
	reason, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	s.note("%s answered %d %s", id, response.StatusCode, strings.TrimSpace(string(reason)))
	return id
}

func (c *crashing) reached(id string) (reached []*platformtest.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range c.servers {
		if server.Runs()[id] > 0 {
			reached = append(reached, server)
		}
	}
	return reached
}

// repeatCrash lets a request that crashes servers come again and again, also after all instances
// were killed at the same time and have started again, twice.
func repeatCrash(s *stage) error {
	c := &crashing{s: s}
	for range singleServers {
		c.add()
	}
	time.Sleep(time.Second)
	sent := 0
	repeat := func() {
		for range repeats {
			c.send(sent, s.instances[sent%len(s.instances)])
			sent++
			time.Sleep(repeatPause)
		}
	}
	repeat()
	for range 2 {
		if s.trouble {
			if err := s.killAll(); err != nil {
				return err
			}
		}
		time.Sleep(stabilityWindow + 500*time.Millisecond)
		repeat()
	}
	s.judgeBy = c.judge
	return nil
}

// killAll kills all instances and starts them again.
func (s *stage) killAll() error {
	s.note("all instances are killed")
	for _, i := range s.instances {
		i.stop()
	}
	time.Sleep(downTime)
	for _, i := range s.instances {
		if err := i.start(s.binary, s.dir, s.seeds); err != nil {
			return err
		}
	}
	for _, i := range s.instances {
		if err := i.awaitReady(startTime); err != nil {
			return err
		}
	}
	s.note("all instances are ready again")
	return nil
}

func (c *crashing) judge() (verdict string, broken bool) {
	var crashes []time.Time
	repeated := map[string]time.Time{}
	for _, server := range c.servers {
		for _, arrival := range server.Arrivals() {
			c.s.lines = append(c.s.lines, line{at: arrival.At, text: fmt.Sprintf("%s reaches %s", arrival.RequestID, server.ID)})
			crashes = append(crashes, arrival.At)
			repeated[arrival.RequestID] = arrival.At
		}
		server.Close()
	}
	return judgeRepeats(crashes, repeated)
}

// judgeRepeats returns whether too many of the repeated requests have reached servers later than the
// stability window after the third crash.
func judgeRepeats(crashes []time.Time, repeated map[string]time.Time) (verdict string, broken bool) {
	if len(crashes) < 3 {
		return fmt.Sprintf("%d crashes", len(crashes)), false
	}
	third := nth(crashes, 2)
	late := 0
	for _, at := range repeated {
		if at.Sub(third) > stabilityWindow {
			late++
		}
	}
	verdict = fmt.Sprintf("%d crashes; %d repeats have reached servers later than %s after the third crash, %d allowed", len(crashes), late, stabilityWindow, allowedRepeat)
	return verdict, late > allowedRepeat
}
