package admission

import "time"

// Request describes one attempt that needs a slot.
type Request struct {
	Priority int       // 0 is served first
	Arrival  time.Time // at the entry instance; orders equal priorities
	Deadline time.Time // zero is none
}

// before reports whether r is served before other. Equal requests are served
// in the order in which they reached the queue.
func (r Request) before(other Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Arrival.Before(other.Arrival)
}
