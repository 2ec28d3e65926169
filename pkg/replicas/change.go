package replicas

import "time"

// ChangeKind says how the observed health of a server has changed.
type ChangeKind string

// Kinds of health change.
const (
	ChangeEjected     ChangeKind = "ejected"       // after several consecutive failures
	ChangeReturned    ChangeKind = "answers again" // first reply after an ejection
	ChangeLimited     ChangeKind = "limited"       // attempts missed their due time
	ChangeRateNamed   ChangeKind = "names a rate limit"
	ChangeRateLifted  ChangeKind = "names no rate limit any more"
	ChangeLeaving     ChangeKind = "says that it leaves"
	ChangePaused      ChangeKind = "asks for a pause" // it wants no requests for a while
	ChangeLimitLifted ChangeKind = "limit lifted"     // after fast replies, or when no attempt was late for a while
)

// Change describes a change in the observed health of one server, for logs.
type Change struct {
	Kind      ChangeKind
	Server    string // backend server ID
	Service   string
	Failures  int           // consecutive failed attempts
	Ejections int           // consecutive ejections without a reply between them
	Took      time.Duration // duration of the attempt that caused the change
	Pause     time.Duration // for which the server wants no requests
	Rate      float64       // requests a second that the server accepts from all instances
	Limit     float64       // concurrent attempts allowed at the server; 0 is unlimited
}

// health is the part of a server's state whose changes are reported.
type health struct {
	ejected bool
	limited bool
}

func (s *server) health() health {
	return health{ejected: s.consecutiveEjections > 0, limited: s.limit.value != 0}
}

// healthChanges returns the differences between the current health and the health before
// an attempt ended.
func (s *server) healthChanges(before health) []ChangeKind {
	var kinds []ChangeKind
	now := s.health()
	switch {
	case now.ejected && !before.ejected:
		kinds = append(kinds, ChangeEjected)
	case before.ejected && !now.ejected:
		kinds = append(kinds, ChangeReturned)
	}
	switch {
	case now.limited && !before.limited:
		kinds = append(kinds, ChangeLimited)
	case before.limited && !now.limited:
		kinds = append(kinds, ChangeLimitLifted)
	}
	return kinds
}
