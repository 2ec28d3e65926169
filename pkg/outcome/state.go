// Package outcome holds the state of one request towards a backend server:
// not sent -> maybe sent -> answered, or not sent -> refused. Each transition
// is one atomic step, so that a refusal that says "not run" and a send can
// never both succeed.
package outcome

import (
	"sync/atomic"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Phases of a request. The zero value is notSent.
const (
	notSent   uint32 = iota
	maybeSent        // bytes may have reached a backend server
	refused          // not run, now and later
	answered         // run
)

// State is the state of one request. The zero value is a request that is not
// sent. A State is safe for concurrent use and must not be copied.
type State struct {
	phase atomic.Uint32
}

// Send moves the request from not sent to maybe sent. It must be called before
// the first byte of the request is written. When it returns false, the request
// is refused, answered or already on its way, and nothing may be written.
func (s *State) Send() bool {
	return s.phase.CompareAndSwap(notSent, maybeSent)
}

// Refuse moves the request from not sent to refused. It returns true when the
// request is refused: it has not run and never will.
func (s *State) Refuse() bool {
	if s.phase.CompareAndSwap(notSent, refused) {
		return true
	}
	return s.phase.Load() == refused
}

// Answer records the backend server's statement about a request that may have
// been sent. RUN_STATE_NOT_RUN ends the request as refused; RUN_STATE_UNKNOWN
// states nothing and changes nothing. Statements in any other phase are
// ignored.
func (s *State) Answer(run peerpb.RunState) {
	switch run {
	case peerpb.RunState_RUN_STATE_RUN:
		s.phase.CompareAndSwap(maybeSent, answered)
	case peerpb.RunState_RUN_STATE_NOT_RUN:
		s.phase.CompareAndSwap(maybeSent, refused)
	}
}

// NotRun records the backend server's statement that it did not run the
// request, and makes it available for another replica. It must be called at
// most once for each successful Send, and only on such a statement. It returns
// false when the request is not in the phase maybe sent.
func (s *State) NotRun() bool {
	return s.phase.CompareAndSwap(maybeSent, notSent)
}

// Run returns what is certain about the request for good. A request that is
// not sent is unknown, because it may still be sent: call Refuse first to make
// "not run" certain.
func (s *State) Run() peerpb.RunState {
	switch s.phase.Load() {
	case answered:
		return peerpb.RunState_RUN_STATE_RUN
	case refused:
		return peerpb.RunState_RUN_STATE_NOT_RUN
	default:
		return peerpb.RunState_RUN_STATE_UNKNOWN
	}
}
