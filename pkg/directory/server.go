package directory

import (
	"strconv"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Server is a listed backend server as of one moment.
type Server struct {
	membership.BackendServer
	Capacity int
	Started  int64     // Unix milliseconds; a process that starts again keeps its id
	WarmAt   time.Time // until then it is slow after its start
	// LeavingSince is when this instance learned that the server drains or that
	// its entry is gone; zero for a server that stays.
	LeavingSince time.Time
}

// Leaving reports whether the server is to be used only when no other one can.
func (s *Server) Leaving() bool { return !s.LeavingSince.IsZero() }

// Key identifies one run of the server's process at its address.
func (s *Server) Key() string {
	return s.ID + "/" + strconv.FormatInt(s.Started, 36) + "/" + s.Address
}
