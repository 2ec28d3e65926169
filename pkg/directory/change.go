package directory

// ChangeKind says how the entry of a backend server has changed.
type ChangeKind string

// Kinds of change. Unchanged also covers updates that do not affect where or whether the
// server can be used.
const (
	Unchanged ChangeKind = ""
	Added     ChangeKind = "added"
	Restarted ChangeKind = "restarted" // a new process with the same ID
	Moved     ChangeKind = "moved"     // new address or service
	Draining  ChangeKind = "draining"
	Returned  ChangeKind = "returned" // listed again, or no longer draining
	Removed   ChangeKind = "removed"
)

// Change describes a change of one entry, for logs.
type Change struct {
	ID      string
	Service string
	Kind    ChangeKind
}

// changeOf compares two states of a server. Old is nil for a server that was not listed.
func changeOf(old, next *Server) Change {
	c := Change{ID: next.ID, Service: next.Service}
	switch {
	case old == nil:
		c.Kind = Added
	case old.Started != next.Started:
		c.Kind = Restarted
	case old.Address != next.Address || old.Service != next.Service:
		c.Kind = Moved
	case !old.Leaving() && next.Leaving():
		c.Kind = Draining
	case old.Leaving() && !next.Leaving():
		c.Kind = Returned
	}
	return c
}
