package forward

import (
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/runstate"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
)

// shardRequest is the state of what one service has to answer: a shard, or the whole
// request on a route that is not sharded. Only the goroutine of the request uses its
// fields.
type shardRequest struct {
	index           int
	service         string
	servers         []*directory.Server
	returnDraw      float64   // 0 to 1; decides whether servers of a zone that has just returned may be chosen
	tried           []string  // ids of servers that were selected for an attempt
	arrivals        int       // attempts that may have reached a server
	expiredServers  []string  // ids of tried servers that stopped work at the cutoff as told and may be asked again
	chargedAttempts int       // arrivals that are charged to the budget
	inFlight        int       // attempts in progress
	mayHaveRun      bool      // a server may have run the request
	lastStarted     time.Time // start of the latest attempt
	reply           *Reply    // the accepted reply, nil while there is none
	failure         *Reply    // error reply of a server, passed on when no server succeeds
	countedInBudget bool      // the request has been counted for the budget of the service
	hedgeTried      bool      // the one hedge was tried, whether or not it was allowed
	// hedgePostponed is set when a hedge was postponed because this instance got no
	// processor time.
	hedgePostponed bool
	lost           bool // no reply will come
	// waiting is set when an attempt waits until a server has capacity, or for the outcome
	// of another attempt of a request that may crash servers.
	waiting bool
	// reservation is set while an attempt waits for the rate limit of its server.
	reservation *reservation
	queued      *shedding.Waiter // set while an attempt waits for its turn at the servers
	leftOut     bool             // the part is not asked for because capacity is short
	directOnly  bool             // a relay has failed; the servers are asked directly from now on
	// sending holds the run states of the attempts in progress at servers. Attempts may
	// wait for a connection for long.
	sending []*runstate.State
}

// withdrawUnsent prevents the attempts that have not been sent from being sent, and
// returns their number.
func (s *shardRequest) withdrawUnsent() int {
	withdrawn := 0
	for _, state := range s.sending {
		if state.Refuse() {
			withdrawn++
		}
	}
	return withdrawn
}

// attemptEnded drops the run state of an attempt that is no longer in progress.
func (s *shardRequest) attemptEnded(state *runstate.State) {
	s.inFlight--
	s.sending = slices.DeleteFunc(s.sending, func(other *runstate.State) bool { return other == state })
}

// mayHaveReachedServer reports whether a server may have run the request, or may yet run it.
// Attempts that have not been sent are withdrawn first.
func (s *shardRequest) mayHaveReachedServer() bool {
	return s.reply != nil || s.mayHaveRun || s.inFlight > s.withdrawUnsent()
}

func (s *shardRequest) wasTried(id string) bool {
	for _, tried := range s.tried {
		if tried == id {
			return true
		}
	}
	return false
}

// forget makes a server that was selected and not reached available again.
func (s *shardRequest) forget(id string) {
	s.tried = slices.DeleteFunc(s.tried, func(tried string) bool { return tried == id })
}

func (s *shardRequest) isComplete() bool { return s.reply != nil || s.lost }
