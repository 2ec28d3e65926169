package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const (
	host            = "search.example"
	instances       = 3
	shards          = 6
	drainTime       = 3 * time.Second // drain_ms
	stabilityWindow = 4 * time.Second // stability_window_ms
	requestInterval = 25 * time.Millisecond
	startTime       = 15 * time.Second
)

// stage holds the processes and stand-ins of a scene, and what was seen.
type stage struct {
	binary, dir, recordFile string
	trouble                 bool
	began                   time.Time
	store                   *store
	instances               []*instance
	servers                 [][]*platformtest.Server // by shard
	services                []string
	version                 int
	seeds                   []string
	judgeBy                 func() (verdict string, broken bool)
	stop                    chan struct{}
	stopped                 sync.WaitGroup

	mu       sync.Mutex
	lines    []line
	takenBy  map[string]*instance // by request id
	leavesAt map[string]time.Time // by id of the server: when the store has confirmed that it drains
}

// line is one line of the record.
type line struct {
	at   time.Time
	text string
}

func newStage(binary, recordFile string, trouble bool) (*stage, error) {
	dir, err := os.MkdirTemp("", "scene")
	s := &stage{binary: binary, dir: dir, recordFile: recordFile, trouble: trouble, began: time.Now(), stop: make(chan struct{}),
		takenBy: map[string]*instance{}, leavesAt: map[string]time.Time{}}
	s.judgeBy = s.judgeDrain
	if err != nil {
		return s, err
	}
	if s.store, err = newStore(); err != nil {
		return s, err
	}
	for n := range shards {
		service := fmt.Sprintf("shard-%d", n+1)
		s.services = append(s.services, service)
		var pair []*platformtest.Server
		for _, name := range []string{"a", "b"} {
			server := platformtest.NewServer(fmt.Sprintf("i-%d%s", n+1, name), service, "zone-a")
			server.SetFault(platformtest.Fault{Delay: 15 * time.Millisecond})
			s.store.Write(platformtest.PrefixServers+server.ID, server.Entry(server.Address(), "ready"))
			pair = append(pair, server)
		}
		s.servers = append(s.servers, pair)
	}
	s.publish()
	return s, s.startInstances()
}

func (s *stage) startInstances() error {
	for n := range instances {
		way, err := newProxy(s.store.address())
		if err != nil {
			return err
		}
		i := newInstance(s.dir, n, way)
		s.instances = append(s.instances, i)
		s.seeds = append(s.seeds, i.peer)
	}
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
	time.Sleep(3 * time.Second) // the instances find each other
	s.stopped.Go(s.callers)
	return nil
}

// publish writes the next version of the desired state, with the same routes.
func (s *stage) publish() {
	s.version++
	s.store.Write(platformtest.KeyTable, platformtest.Table(s.version, host, s.services, "single", 20, 0.6))
	s.note("desired state %d confirmed", s.version)
}

// drain lets servers report that they drain. They go on serving until the scene ends.
func (s *stage) drain(servers ...*platformtest.Server) {
	for _, server := range servers {
		s.store.Write(platformtest.PrefixServers+server.ID, server.Entry(server.Address(), "draining"))
		s.mu.Lock()
		s.leavesAt[server.ID] = time.Now()
		s.mu.Unlock()
		s.note("%s drains, confirmed", server.ID)
	}
}

// callers sends requests to the instances in turn.
func (s *stage) callers() {
	client := &http.Client{Timeout: 2 * time.Second}
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		i := s.instances[n%len(s.instances)]
		s.stopped.Go(func() { s.send(client, i, fmt.Sprintf("r%05d", n)) })
	}
}

func (s *stage) send(client *http.Client, i *instance, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.caller+"/all/"+id, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderTimeoutMs, "1200")
	s.mu.Lock()
	s.takenBy[id] = i
	s.mu.Unlock()
	s.note("%s sent to %s", id, i.id)
	response, err := client.Do(request)
	if err != nil {
		s.note("%s not answered: %v", id, err)
		return
	}
	_ = response.Body.Close()
	s.note("%s answered %d, missing parts %q", id, response.StatusCode, response.Header.Get(platformtest.HeaderMissingParts))
}

func (s *stage) note(format string, args ...any) {
	at := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, line{at: at, text: fmt.Sprintf(format, args...)})
}

// judge writes the record and returns 1 if the rule was broken.
func (s *stage) judge() int {
	close(s.stop)
	s.stopped.Wait()
	verdict, broken := s.judgeBy()
	if err := s.writeRecord(verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(verdict)
	if broken {
		return 1
	}
	return 0
}

// judgeDrain returns whether a request has reached a draining server too late, from an instance in
// touch.
func (s *stage) judgeDrain() (verdict string, broken bool) {
	late, seen := 0, 0
	for _, pair := range s.servers {
		for _, server := range pair {
			for _, arrival := range server.Arrivals() {
				text := fmt.Sprintf("%s reaches %s", arrival.RequestID, server.ID)
				if leaves, ok := s.leavesAt[server.ID]; ok && arrival.At.Sub(leaves) > drainTime {
					by := s.takenBy[arrival.RequestID]
					text += fmt.Sprintf(" %d ms after the drain was confirmed, through %s", arrival.At.Sub(leaves).Milliseconds(), by.id)
					if by.inTouch(arrival.At) {
						text += ", which is in touch: LATE"
						late++
					}
				}
				seen++
				s.lines = append(s.lines, line{at: arrival.At, text: text})
			}
		}
	}
	verdict = fmt.Sprintf("%d arrivals at servers, %d at draining servers over %d ms after the drain from instances in touch", seen, late, drainTime.Milliseconds())
	return verdict, late > 0
}

func nth(times []time.Time, n int) time.Time {
	slices.SortFunc(times, time.Time.Compare)
	return times[n]
}

func (s *stage) writeRecord(verdict string) error {
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
	file, err := os.Create(s.recordFile)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	for _, l := range s.lines {
		fmt.Fprintf(w, "%8.3f %s\n", l.at.Sub(s.began).Seconds(), l.text)
	}
	fmt.Fprintln(w, verdict)
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}

func (s *stage) close() {
	for _, i := range s.instances {
		i.stop()
		i.way.close()
	}
	for _, pair := range s.servers {
		for _, server := range pair {
			server.Close()
		}
	}
	if s.store != nil {
		s.store.close()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}
