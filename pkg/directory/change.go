package directory

// ChangeKind is what happened to an entry.
type ChangeKind string

// Kinds of change. An entry whose server is as usable as before is Unchanged.
const (
	Unchanged ChangeKind = ""
	Added     ChangeKind = "added"
	Restarted ChangeKind = "restarted" // the same id has a new process
	Moved     ChangeKind = "moved"     // other address or service
	Draining  ChangeKind = "draining"
	Returned  ChangeKind = "returned" // no longer draining or gone
	Removed   ChangeKind = "removed"
)

// Change is a change of one entry, for logs.
type Change struct {
	ID      string
	Service string
	Kind    ChangeKind
}

// changeOf compares two states of a server. Old is nil for a new one.
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
