// Package adaptivetimeout derives timeouts from recent reply times, so that a slow reply of
// a busy machine is not taken for a fault.
package adaptivetimeout

import "time"

const (
	// peakFactor is the multiple of the recent peak reply time after which a wait times
	// out.
	peakFactor = 3
	// peakDecay multiplies the peak with each faster reply.
	peakDecay = 0.98
)

// Estimator tracks a peak of reply times that decays with each faster reply. The zero value
// has no reply times. It is not safe for concurrent use.
type Estimator struct {
	value time.Duration
}

// Record adds a reply time, or the waiting time if there was no reply: otherwise a timeout
// that is too short could never grow.
func (p *Estimator) Record(took time.Duration) {
	p.value = max(took, time.Duration(peakDecay*float64(p.value)))
}

// Timeout returns the timeout for the next wait, which is never below minimum.
func (p *Estimator) Timeout(minimum time.Duration) time.Duration {
	return max(minimum, peakFactor*p.value)
}
