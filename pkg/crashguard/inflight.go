package crashguard

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// serverLoad is the requests in flight on one backend server.
type serverLoad struct {
	server  membership.BackendServer
	running map[uint64]*attempts
}

// attempts of one request on one server.
type attempts struct {
	count int
	begun time.Time // beginning of the oldest
}

// inFlight tracks running attempts. It is bounded by the owners' slots.
type inFlight struct {
	servers  map[string]*serverLoad
	attempts map[uint64]int // over all servers
}

func newInFlight() inFlight {
	return inFlight{servers: make(map[string]*serverLoad), attempts: make(map[uint64]int)}
}

func (f *inFlight) begin(fingerprint uint64, server membership.BackendServer, now time.Time) {
	load := f.servers[server.ID]
	if load == nil {
		load = &serverLoad{server: server, running: make(map[uint64]*attempts, 2)}
		f.servers[server.ID] = load
	}
	if load.running[fingerprint] == nil {
		load.running[fingerprint] = &attempts{begun: now}
	}
	load.running[fingerprint].count++
	f.attempts[fingerprint]++
}

func (f *inFlight) end(fingerprint uint64, serverID string) {
	load := f.servers[serverID]
	if load == nil || load.running[fingerprint] == nil {
		return
	}
	load.running[fingerprint].count--
	if load.running[fingerprint].count == 0 {
		delete(load.running, fingerprint)
	}
	if len(load.running) == 0 {
		delete(f.servers, serverID)
	}
	f.attempts[fingerprint]--
	if f.attempts[fingerprint] == 0 {
		delete(f.attempts, fingerprint)
	}
}
