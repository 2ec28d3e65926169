package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const midwayRepeats = 16

// midway holds the servers of the service and what they have run.
type midway struct {
	s *stage

	mu      sync.Mutex
	servers []*midwayServer
	known   map[string]bool // ids of servers that have crashed
}

func (m *midway) add() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	server, err := newMidwayServer(fmt.Sprintf("i-single-%d", len(m.servers)+1), m.s.trouble)
	if err != nil {
		return err
	}
	m.servers = append(m.servers, server)
	m.s.store.Write(platformtest.PrefixServers+server.id, server.entry())
	return nil
}

// bringBack notes the servers that have crashed and brings them back after a while, as new ones.
func (m *midway) bringBack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, server := range m.servers {
		if !server.crashes || m.known[server.id] || len(server.ran()) == 0 {
			continue
		}
		m.known[server.id] = true
		m.s.note("%s has crashed", server.id)
		time.AfterFunc(crashedFor, func() {
			m.s.store.Write(platformtest.PrefixServers+server.id, "")
			_ = m.add()
		})
	}
}

// crashMidway lets a request come again and again that crashes servers while they answer it.
func crashMidway(s *stage) error {
	m := &midway{s: s, known: map[string]bool{}}
	for range singleServers {
		if err := m.add(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for n := range midwayRepeats {
		s.sendCrashing(n, s.instances[n%len(s.instances)])
		m.bringBack()
		time.Sleep(repeatPause)
	}
	s.judgeBy = m.judge
	return nil
}

func (m *midway) judge() (verdict string, broken bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var crashes []time.Time
	repeated := map[string]time.Time{}
	for _, server := range m.servers {
		for id, at := range server.ran() {
			m.s.lines = append(m.s.lines, line{at: at, text: fmt.Sprintf("%s reaches %s", id, server.id)})
			repeated[id] = at
			if server.crashes {
				crashes = append(crashes, at)
			}
		}
		_ = server.server.Close()
	}
	return judgeRepeats(crashes, repeated)
}
