// Package runstate tracks whether a request can have reached or run on a backend
// server: not sent -> maybe sent -> answered, or not sent -> refused. Each
// transition is one atomic step, so that a refusal that states "not run" and a
// send never both succeed.
package runstate

import (
	"sync/atomic"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Phases of a request. The zero value is notSent.
const (
	notSent   uint32 = iota
	maybeSent        // bytes may have reached a backend server
	refused          // the request has not run and never will
	answered         // the request has run
)

// State is the run state of one request. Its zero value is that of a request that
// has not been sent. A State is safe for concurrent use and must not be copied.
type State struct {
	phase atomic.Uint32
}

// Send moves the request from not sent to maybe sent. It must be called before
// the first byte of the request is written. If it returns false, the request is
// refused, answered or already being sent, and nothing may be written.
func (s *State) Send() bool {
	return s.phase.CompareAndSwap(notSent, maybeSent)
}

// Refuse moves the request from not sent to refused. It returns true if the
// request is now refused, even if it already was: it has not run and never will.
func (s *State) Refuse() bool {
	if s.phase.CompareAndSwap(notSent, refused) {
		return true
	}
	return s.phase.Load() == refused
}

// Answer records the backend server's statement about a request that may have
// been sent. RUN_STATE_NOT_RUN ends the request as refused; RUN_STATE_UNKNOWN
// changes nothing. A statement in any other phase is ignored.
func (s *State) Answer(run peerpb.RunState) {
	switch run {
	case peerpb.RunState_RUN_STATE_RUN:
		s.phase.CompareAndSwap(maybeSent, answered)
	case peerpb.RunState_RUN_STATE_NOT_RUN:
		s.phase.CompareAndSwap(maybeSent, refused)
	}
}

// NotRun records the backend server's statement that it did not run the request,
// which may then be sent to another replica. It must be called at most once for
// each successful Send, and only after such a statement. It returns false if the
// request is not in the phase maybe sent.
func (s *State) NotRun() bool {
	return s.phase.CompareAndSwap(maybeSent, notSent)
}

// RunState returns what is finally known about the request. A request that is not
// sent is unknown, because it may still be sent: call Refuse first to make "not
// run" certain.
func (s *State) RunState() peerpb.RunState {
	switch s.phase.Load() {
	case answered:
		return peerpb.RunState_RUN_STATE_RUN
	case refused:
		return peerpb.RunState_RUN_STATE_NOT_RUN
	default:
		return peerpb.RunState_RUN_STATE_UNKNOWN
	}
}
