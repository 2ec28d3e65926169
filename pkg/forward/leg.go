package forward

import (
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// leg is the part of a request that one service answers: a shard, or the whole
// request on a route that is not sharded. All fields but settled are used by the
// request's goroutine alone.
type leg struct {
	index    int
	service  string
	servers  []*directory.Server
	tried    []string // ids of servers that got an attempt
	arrivals int      // attempts that may have reached a server
	again    []string // of tried ones, those that were told to stop and may be asked again
	extras   int      // of them charged to the budget
	running  int
	mayRun   bool      // an attempt may have been run
	last     time.Time // start of the latest attempt
	reply    *Reply    // accepted
	failure  *Reply    // a server's own failure, passed on when nothing better comes
	counted  bool      // the request counts for the budget of the service
	hedged   bool      // a hedge was tried, whether or not it was allowed
	// postponed is set when a hedge was put off because this instance was starved.
	postponed bool
	lost      bool // no reply will come
	waits     bool // its first attempt waits for room at a server
	direct    bool // a relay has failed; servers are asked directly
	// settled is set when no further attempt is needed; attempts that still wait
	// for a connection read it.
	settled atomic.Bool
}

func (l *leg) wasTried(id string) bool {
	for _, tried := range l.tried {
		if tried == id {
			return true
		}
	}
	return false
}

func (l *leg) decided() bool { return l.reply != nil || l.lost }
