package feed

import "fmt"

// StaleTableError reports that another instance has an older table than this one.
type StaleTableError struct {
	Peer           string
	Version, Known int64 // of the other instance's table, and of this one's
}

func (e *StaleTableError) Error() string {
	return fmt.Sprintf("instance %s has table %d, this instance has %d", e.Peer, e.Version, e.Known)
}
