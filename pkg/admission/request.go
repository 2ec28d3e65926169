package admission

import "time"

// Request describes an attempt that needs a slot.
type Request struct {
	Priority int       // 0 is the highest
	Arrival  time.Time // arrival at the entry instance; orders requests of equal priority
	Deadline time.Time // zero means no deadline
}

// before reports whether r is served before other. Requests of equal priority
// and arrival are served in the order in which they were enqueued.
func (r Request) before(other Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Arrival.Before(other.Arrival)
}
