package lifecycle

import "fmt"

// DrainError reports that the time for draining has passed before everything
// was served.
type DrainError struct {
	InFlight    int // requests
	LiveTickets int
}

// Error names what is left.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight and %d live tickets", e.InFlight, e.LiveTickets)
}
