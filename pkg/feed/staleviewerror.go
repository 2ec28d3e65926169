package feed

import (
	"fmt"
	"time"
)

// StaleViewError reports that the view of another instance is stale, which means that it has
// lost the store.
type StaleViewError struct {
	Peer string
	Age  time.Duration // of the instance's view
}

// Error names the instance and the age.
func (e *StaleViewError) Error() string {
	return fmt.Sprintf("view of instance %s is %d ms old", e.Peer, e.Age.Milliseconds())
}
