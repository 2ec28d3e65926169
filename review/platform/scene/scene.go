package main

import (
	"fmt"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// pageSize is the number of items in a page of the store.
const pageSize = 500

// note writes a line to the record, with the time since the start of the case.
func (s *scene) note(format string, values ...any) { s.noteAt(time.Now(), format, values...) }

func (s *scene) noteAt(at time.Time, format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", at.Sub(s.began).Seconds(), fmt.Sprintf(format, values...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line) // a record that cannot be written shows by its absence
}

// deploy starts the store, the leafs of one service and one process per entry of zones, and
// waits until all are ready. Routes are the operator's routes, in JSON.
func (s *scene) deploy(relayZones, leafZones []string, service, routes string, work func(operation string) time.Duration) error {
	s.store = platformtest.NewStore(pageSize)
	for n, zone := range leafZones {
		if _, err := s.addLeaf(n+1, service, zone, work); err != nil {
			return err
		}
	}
	s.store.Write(platformtest.KeyTable, fmt.Sprintf(`{"version":7,"routes":[%s],"backends":[{"name":"fichas","health_path":"/health","max_connections":42,"protocol":"h1","tls":false},{"name":"avisos","health_path":"/health","max_connections":42,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, routes))
	var seeds []string
	for n, zone := range relayZones {
		r, err := newRelay(n+1, zone)
		if err != nil {
			return err
		}
		s.relays = append(s.relays, r)
		if len(seeds) < 3 {
			seeds = append(seeds, r.peer)
		}
	}
	for _, r := range s.relays {
		if err := r.writeSettings(s.dir, s.store.Address(), seeds); err != nil {
			return err
		}
		if err := r.start(s.dir); err != nil {
			return err
		}
		s.note("%s started in zone %s, process %d", r.id, r.zone, r.command.Process.Pid)
	}
	for _, r := range s.relays {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	s.note("%d processes are ready; %d leafs of %s", len(s.relays), len(s.leafs), service)
	return nil
}

// addLeaf starts a leaf, which registers itself in the store.
func (s *scene) addLeaf(n int, service, zone string, work func(operation string) time.Duration) (*leaf, error) {
	l, err := newLeaf(n, service, zone)
	if err != nil {
		return nil, err
	}
	l.work = work
	s.leafs = append(s.leafs, l)
	s.store.Write(platformtest.PrefixServers+l.id, l.entry("ready"))
	return l, nil
}

// end ends everything that the case has started.
func (s *scene) end() {
	for _, r := range s.relays {
		r.kill()
	}
	for _, l := range s.leafs {
		l.close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// runs returns what has reached the leafs, by request id.
func (s *scene) runs() map[string][]run {
	byID := map[string][]run{}
	for _, l := range s.leafs {
		for _, r := range l.runsOf() {
			byID[r.id] = append(byID[r.id], r)
		}
	}
	return byID
}

// noteAttempt records one attempt and what became of it at the leafs.
func (s *scene) noteAttempt(a attempt, runs []run) {
	answer := fmt.Sprintf("answer %d", a.status)
	if a.status == 0 {
		answer = "no complete answer: " + a.failure
	}
	s.noteAt(a.sent, "%s sent to %s (operation %s, kept connection %t); %s after %d ms", a.id, a.node, a.operation, a.kept, answer, a.ended.Sub(a.sent).Milliseconds())
	for _, r := range runs {
		switch {
		case r.notRun:
			s.noteAt(r.arrived, "  %s turned %s away with %d", r.leaf, r.id, r.status)
		case r.began.IsZero():
			s.noteAt(r.arrived, "  %s had %s in its queue", r.leaf, r.id)
		case r.ended.IsZero():
			s.noteAt(r.began, "  %s ran %s, still at work at the end", r.leaf, r.id)
		default:
			s.noteAt(r.began, "  %s ran %s for %d ms, status %d", r.leaf, r.id, r.ended.Sub(r.began).Milliseconds(), r.status)
		}
	}
}
