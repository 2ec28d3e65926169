package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const (
	// usualWork and slowWork are the work of a request; srv_slow takes up to 12 times as long.
	usualWork = 15 * time.Millisecond
	slowWork  = 10 * usualWork
	// slowShards of the 20 shards have slow servers, a share of 0.3 of all servers: srv_slow twice, with a share of 0.15 each.
	slowShards = 6
	// extraShare is x of garble with extra responses, at half of the servers.
	extraShare = 0.04
	// faultTime is for how long the servers are slow and send extra responses.
	faultTime = 1200 * time.Millisecond
	// callersEach is the number of callers at each machine, with one request at a time each.
	callersEach = 1
	// faultPause is the time between two such times.
	faultPause = 3500 * time.Millisecond
	// faultTimes is how often that happens.
	faultTimes = 20
)

// playExtra has servers of a few shards turn slow while they send extra responses. It returns
// whether the rule held.
func playExtra(program string, r *record, trouble bool) (held bool, err error) {
	s, err := newScene(program, func(s *scene, _ string) (string, error) { return s.store.Address(), nil })
	if err != nil {
		return false, err
	}
	defer s.end()
	t := table{version: 1, single: "fichas", timeout: 8000, share: 0.89}
	var servers []*faultyServer
	for i := range 20 {
		name := fmt.Sprintf("agenda-%02d", i)
		t.shards = append(t.shards, name)
		for z := range 2 {
			server, err := newFaultyServer(fmt.Sprintf("%s-%d", name, z), name, zones[z], usualWork)
			if err != nil {
				return false, err
			}
			defer func() { _ = server.listener.Close() }()
			servers = append(servers, server)
			s.store.Write(platformtest.PrefixServers+server.id, server.entry())
		}
	}
	s.addServer("fichas-0", "fichas", zones[2], usualWork)
	s.store.Write(platformtest.KeyTable, t.text())
	for _, m := range s.machines {
		if err := m.start(nil); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	ended := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses, wrong := map[int]int{}, 0
	for _, m := range s.machines {
		for n := range callersEach {
			callers.Add(1)
			go func() {
				defer callers.Done()
				c := &caller{name: fmt.Sprintf("%s-c%d", m.name, n), target: m.front()}
				defer c.close()
				for {
					select {
					case <-ended:
						return
					case <-time.After(60 * time.Millisecond):
					}
					o := c.get(host, "/all/"+c.name, 2*time.Second)
					bad := wrongParts(o)
					mu.Lock()
					statuses[o.status]++
					if len(bad) > 0 {
						wrong++
						r.line("answer to %s by %s: status %d with proofs %v that no server gave to it, %d missing, first record %x",
							o.id, m.name, o.status, bad, len(t.shards)-len(proofs(o)), o.body[:min(16, len(o.body))])
						for _, server := range servers {
							if proof, failures := server.history(o.id); server.service == strings.TrimPrefix(bad[0], extraMark) && (failures > 0 || proof != "") {
								r.line("  %s has answered it with %d failures and the proof %q", server.id, failures, proof)
							}
						}
					}
					mu.Unlock()
				}
			}()
		}
	}
	for range faultTimes {
		time.Sleep(faultPause)
		if trouble {
			for i, server := range servers {
				work, extra := usualWork, 0.0
				if i < 2*slowShards {
					work = slowWork
				}
				if i%4 < 2 { // every other shard: half of the servers
					extra = extraShare
				}
				server.set(work, extra)
			}
			r.line("the servers of %d shards are slow, and those of half of the shards send extra responses", slowShards)
		}
		time.Sleep(faultTime)
		for _, server := range servers {
			server.set(usualWork, 0)
		}
		r.line("all servers work normally")
	}
	time.Sleep(time.Second)
	close(ended)
	callers.Wait()
	answers, extras := 0, 0
	for _, server := range servers {
		answers += server.answers
		extras += server.extras
	}
	r.line("servers gave %d answers and %d extra responses; callers got answers by status %v, %d with a part that is no answer", answers, extras, statuses, wrong)
	return wrong == 0, nil
}

func proofs(o outcome) []string {
	if o.answer == nil {
		return nil
	}
	return strings.Split(strings.Join(o.answer.Header.Values(platformtest.HeaderPartProofs), ","), ",")
}

// wrongParts returns the proofs in a success that belong to extra responses.
func wrongParts(o outcome) (wrong []string) {
	if o.status != 200 {
		return nil
	}
	for _, proof := range proofs(o) {
		if proof = strings.TrimSpace(proof); strings.HasPrefix(proof, extraMark) {
			wrong = append(wrong, proof)
		}
	}
	if len(wrong) == 0 && bytes.Contains(o.body, bytes.Repeat([]byte{0xff}, 16)) {
		wrong = append(wrong, "a record of an extra response")
	}
	return wrong
}
