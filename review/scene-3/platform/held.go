package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const (
	// drainTime is drain_ms of the small deployments.
	drainTime = 3 * time.Second
	// cutTime is how long one machine is partitioned from the store. The site files have up to 5.5 s.
	cutTime = 1700 * time.Millisecond
	// cutAfter is the time from the begin of a watch until the cut, and firstAfter and drainAfter
	// are those from the cut until the first server and then those of the shard report.
	cutAfter   = 20 * time.Millisecond
	firstAfter = 20 * time.Millisecond
	drainAfter = 20 * time.Millisecond
	// lateMargin allows for the time between the store's answer to the operator and the
	// measurement here.
	lateMargin = 20 * time.Millisecond
	// cuts is how often a machine is cut off, each time with another shard.
	cuts = 3
)

// playHeld empties the servers of a shard while the machine that reads the store for its zone is
// partitioned from it for a moment. It returns whether the rule held.
func playHeld(program string, r *record, trouble bool) (held bool, err error) {
	links := map[string]*link{}
	s, err := newScene(program, func(s *scene, machine string) (string, error) {
		l, err := newLink(s.store.Address())
		if err != nil {
			return "", err
		}
		links[machine] = l
		return l.listener.Addr().String(), nil
	})
	if err != nil {
		return false, err
	}
	defer s.end()
	t := table{version: 1, single: "fichas", timeout: 8000}
	shards := map[string][]*platformtest.Server{}
	for i := range 2 * (cuts + 1) {
		name := fmt.Sprintf("agenda-%d", i)
		t.shards = append(t.shards, name)
		for z := range 2 {
			shards[name] = append(shards[name], s.addServer(fmt.Sprintf("%s-%d", name, z), name, zones[z], 10*time.Millisecond))
		}
	}
	var spare []*platformtest.Server // report first, so that the watch is answered
	for i := range cuts {
		spare = append(spare, s.addServer(fmt.Sprintf("avisos-%d", i), "avisos", zones[2], 10*time.Millisecond))
	}
	s.addServer("fichas-0", "fichas", zones[2], 100*time.Millisecond)
	s.store.Write(platformtest.KeyTable, t.text())
	for _, m := range s.machines {
		if err := m.start(nil); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // longer than stability_window_ms
	reader, follower, err := s.reader(links)
	if err != nil {
		return false, err
	}
	r.line("%s reads the store for its zone, %s follows it and gets the requests", reader.name, follower.name)

	ended := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c := &caller{name: fmt.Sprintf("%s-c%d", follower.name, n), target: follower.front()}
			defer c.close()
			for {
				select {
				case <-ended:
					return
				case <-time.After(20 * time.Millisecond):
				}
				o := c.get(host, "/all/"+c.name, 2*time.Second)
				mu.Lock()
				statuses[o.status]++
				mu.Unlock()
			}
		}()
	}

	late := 0
	for i := range cuts {
		time.Sleep(4 * time.Second)
		link := links[reader.name]
		for last := link.watchBegan(); link.watchBegan().Equal(last); time.Sleep(time.Millisecond) {
		}
		time.Sleep(cutAfter)
		if trouble {
			link.setCut(true)
			r.line("%s is partitioned from the store", reader.name)
			time.AfterFunc(cutTime, func() {
				link.setCut(false)
				r.line("%s reaches the store again", reader.name)
			})
		}
		time.Sleep(firstAfter)
		s.list(spare[i], "draining")
		r.line("store: %s is draining, acknowledged", spare[i].ID)
		time.Sleep(drainAfter)
		name := t.shards[i]
		for _, server := range shards[name] {
			s.list(server, "draining")
		}
		acknowledged := time.Now()
		r.line("store: all servers of %s are draining, acknowledged", name)
		time.Sleep(drainTime + time.Second)
		for _, server := range shards[name] {
			for _, a := range server.Arrivals() {
				after := a.At.Sub(acknowledged)
				if after > drainTime+lateMargin && strings.HasPrefix(a.RequestID, follower.name) {
					late++
					r.line("request %s, sent to %s, reached %s %d ms after it had said that it drains (drain_ms %d)",
						a.RequestID, follower.name, server.ID, after.Milliseconds(), drainTime.Milliseconds())
				}
			}
			s.store.Write(platformtest.PrefixServers+server.ID, "")
		}
	}
	close(ended)
	callers.Wait()
	r.line("answers by status: %v; requests that reached a draining server too late: %d", statuses, late)
	return late == 0, nil
}

// reader returns the machine of the first zone that watches the store, and the other one, which
// follows it.
func (s *scene) reader(links map[string]*link) (reader, follower *machine, err error) {
	for _, m := range s.machines {
		switch recent := time.Since(links[m.name].watchBegan()) < 3*time.Second; {
		case m.zone != zones[0]:
		case recent && reader == nil:
			reader = m
		default:
			follower = m
		}
	}
	if reader == nil || follower == nil {
		return nil, nil, errors.New("not one machine of the zone reads the store")
	}
	return reader, follower, nil
}
