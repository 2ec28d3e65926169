// Package pace derives timeouts from recent reply times, so that a slow reply of a busy
// machine is not taken for a fault.
package pace

import "time"

const (
	// peakFactor is the multiple of the recent peak reply time after which a wait times
	// out.
	peakFactor = 3
	// peakDecay multiplies the peak with each faster reply.
	peakDecay = 0.98
)

// Peak tracks a peak of reply times that decays with each faster reply. The zero value has
// no reply times. It is not safe for concurrent use.
type Peak struct {
	value time.Duration
}

// Record adds a reply time, or the waiting time if there was no reply: otherwise a timeout
// that is too short could never grow.
func (p *Peak) Record(took time.Duration) {
	p.value = max(took, time.Duration(peakDecay*float64(p.value)))
}

// Limit returns the timeout for the next wait, which is never below minimum.
func (p *Peak) Limit(minimum time.Duration) time.Duration {
	return max(minimum, peakFactor*p.value)
}
