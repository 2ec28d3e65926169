package feed

import (
	"fmt"
	"time"
)

// StaleError tells that another instance has lost the store itself.
type StaleError struct {
	Peer string
	Age  time.Duration // of its view
}

// Error names the instance and the age.
func (e *StaleError) Error() string {
	return fmt.Sprintf("view of instance %s is %d ms old", e.Peer, e.Age.Milliseconds())
}
