package directory

// ZoneChange says that a zone has been drained or has returned, for logs.
type ZoneChange struct {
	Zone    string
	Drained bool // false: the zone has returned
	Servers int  // listed backend servers in the zone
}
