package replicas

import "time"

// ChangeKind is how the view of a server has changed.
type ChangeKind string

// Kinds of change.
const (
	ChangeEjected  ChangeKind = "ejected"       // it failed several times in a row
	ChangeReturned ChangeKind = "answers again" // first reply after an ejection
	ChangeLimited  ChangeKind = "limited"       // an attempt was not in time
	ChangeLifted   ChangeKind = "limit lifted"  // fast replies have come
)

// Change is a change of the view of one server, for logs.
type Change struct {
	Kind      ChangeKind
	Server    string // id
	Service   string
	Failures  int           // in a row
	Ejections int           // in a row
	Took      time.Duration // of the attempt that decided it
	Limit     float64       // attempts at a time, 0 is none
}

// belief is what changes are seen by.
type belief struct {
	ejected bool
	limited bool
}

func (s *server) belief() belief {
	return belief{ejected: s.ejections > 0, limited: s.limit.value != 0}
}

// changesSince compares with the belief before an attempt has ended.
func (s *server) changesSince(before belief) []ChangeKind {
	var kinds []ChangeKind
	now := s.belief()
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
		kinds = append(kinds, ChangeLifted)
	}
	return kinds
}
