// Package pace derives time limits from the recent pace of the other side, so
// that a busy machine is not taken for a fault.
package pace

import "time"

const (
	// factor is how many times the recent peak of the reply time a wait may
	// take.
	factor = 3
	// decay lowers the peak with every faster reply.
	decay = 0.98
)

// Peak follows the recent peak of a reply time. The zero value has seen no
// reply. It is not safe for concurrent use.
type Peak struct {
	value time.Duration
}

// Record adds one reply time, or the time that was waited in vain: without the
// latter, a limit that is too short would never rise.
func (p *Peak) Record(took time.Duration) {
	p.value = max(took, time.Duration(decay*float64(p.value)))
}

// Limit returns the time after which a wait is given up, at least the given
// one.
func (p *Peak) Limit(least time.Duration) time.Duration {
	return max(least, factor*p.value)
}
