package lifecycle

import "fmt"

// DrainError reports that a drain ended before everything was served.
type DrainError struct {
	InFlight    int // interrupted requests
	LiveTickets int // tickets that could still have been redeemed
}

// Error returns a message with the numbers of requests and tickets left.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight and %d live tickets", e.InFlight, e.LiveTickets)
}
