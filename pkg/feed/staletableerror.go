package feed

import "fmt"

// StaleTableError reports that the store or another instance has an older table than this one.
type StaleTableError struct {
	Origin         string
	Version, Known int64 // of the other table, and of this instance's
}

func (e *StaleTableError) Error() string {
	return fmt.Sprintf("%s has table %d, this instance has %d", e.Origin, e.Version, e.Known)
}
