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
	WarmAt   time.Time // until this time the server is slow after its start
	// LeavingSince is when this instance first saw that the server drains or that its
	// entry is gone; zero for a server that is not leaving.
	LeavingSince time.Time

	// ReturnedAt is when the server's zone was last taken into use again; zero if it has not
	// been drained before.
	ReturnedAt time.Time
	// ColdAssumed is set from the return of the zone until the server's next entry, which says
	// whether the server is cold.
	ColdAssumed bool

	drained bool          // the operator has drained the server's zone
	leaves  chan struct{} // closed when this run of the server begins to leave or its zone is drained; nil afterwards
}

// Leaving reports whether the server drains or is no longer listed. Such a server is used
// only if no other one can be.
func (s *Server) Leaving() bool { return !s.LeavingSince.IsZero() }

// stays reports whether the server neither leaves nor is in a drained zone.
func (s *Server) stays() bool { return !s.Leaving() && !s.drained }

// Leaves returns a channel that is closed when this run of the server begins to leave, is
// replaced by another one, or when its zone is drained. The channel is nil if the server is
// leaving already.
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
