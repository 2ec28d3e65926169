package crashguard

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// serverAttempts holds the requests in flight on one backend server.
type serverAttempts struct {
	server  membership.BackendServer
	running map[uint64]*requestAttempts
}

// requestAttempts counts the running attempts of one request on one server.
type requestAttempts struct {
	count       int
	oldestStart time.Time // start of the attempt that began first
}

// inFlightAttempts tracks the running attempts of this instance. Its size is
// bounded by the slots that owners have for running attempts.
type inFlightAttempts struct {
	byServer  map[string]*serverAttempts
	byRequest map[uint64]int // running attempts on all servers, by fingerprint
}

func newInFlightAttempts() inFlightAttempts {
	return inFlightAttempts{byServer: make(map[string]*serverAttempts), byRequest: make(map[uint64]int)}
}

func (f *inFlightAttempts) begin(fingerprint uint64, server membership.BackendServer, now time.Time) {
	onServer := f.byServer[server.ID]
	if onServer == nil {
		onServer = &serverAttempts{server: server, running: make(map[uint64]*requestAttempts, 2)}
		f.byServer[server.ID] = onServer
	}
	if onServer.running[fingerprint] == nil {
		onServer.running[fingerprint] = &requestAttempts{oldestStart: now}
	}
	onServer.running[fingerprint].count++
	f.byRequest[fingerprint]++
}

func (f *inFlightAttempts) end(fingerprint uint64, serverID string) {
	onServer := f.byServer[serverID]
	if onServer == nil || onServer.running[fingerprint] == nil {
		return
	}
	onServer.running[fingerprint].count--
	if onServer.running[fingerprint].count == 0 {
		delete(onServer.running, fingerprint)
	}
	if len(onServer.running) == 0 {
		delete(f.byServer, serverID)
	}
	f.byRequest[fingerprint]--
	if f.byRequest[fingerprint] == 0 {
		delete(f.byRequest, fingerprint)
	}
}
