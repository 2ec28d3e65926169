package directory

import (
	"strconv"
	"strings"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Server is an immutable snapshot of a listed backend server.
type Server struct {
	membership.BackendServer
	Capacity int       // requests that the server runs concurrently
	Started  int64     // start of the process in Unix milliseconds; tells apart processes with the same ID
	Revision int64     // of the entry that the state is from; 0 is unknown
	WarmAt   time.Time // until this time the server is slow after its start
	// LeavingSince is when this instance first saw that the server drains or that its
	// entry is gone; zero for a server that is not leaving.
	LeavingSince time.Time
	// lastResortUntil is until when a leaving server may still get requests if its service has
	// no other server.
	lastResortUntil time.Time

	// ReturnedAt is when the server's zone was last taken into use again after it was drained
	// for coldAfter or longer; zero if that has not happened.
	ReturnedAt time.Time
	// ColdAssumed is set from the return of the zone until the server's next entry, which says
	// whether the server is cold.
	ColdAssumed bool

	drained bool          // the operator has drained the server's zone
	leaves  chan struct{} // see Leaves; nil in a drained zone
}

// Leaving reports whether the server drains or is no longer listed. Such a server is used
// only if no other one can be.
func (s *Server) Leaving() bool { return !s.LeavingSince.IsZero() }

// mayBecome reports whether requests that wait for the server in this state may go on waiting
// for it in another one: it is the same run, was not drained and has not begun to leave. S may
// be nil.
func (s *Server) mayBecome(next *Server) bool {
	return s != nil && !s.drained && s.Key() == next.Key() && (s.Leaving() || !next.Leaving())
}

// Leaves returns a channel that is closed when this run of the server begins to leave, is
// replaced by another one or forgotten, or when its zone is drained. Of a server that is leaving
// already it is open until its zone is drained or the server is replaced or forgotten.
func (s *Server) Leaves() <-chan struct{} { return s.leaves }

// Key identifies one run of the server's process at one address.
func (s *Server) Key() string {
	return s.ID + "/" + strconv.FormatInt(s.Started, 36) + "/" + s.Address
}

// IDOfKey returns the ID of the server with the given Key, for logs.
func IDOfKey(key string) string {
	parts := strings.Split(key, "/")
	return strings.Join(parts[:max(len(parts)-2, 1)], "/")
}
