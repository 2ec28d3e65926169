package suspects

import "time"

// history is the time since which an instance knows of all requests that were quarantined. An
// instance that starts takes it over from one that runs; when all instances are lost at once, it
// begins anew. What was quarantined until then may come again, and would take down as many
// servers as before if it had to be recognised from the beginning.
type history struct {
	from time.Time // zero if this instance knows all
}

// begin starts the history of an instance that knows of nothing before.
func (h *history) begin(now time.Time) { h.from = now }

// merge takes over the history of another instance, whose suspects this one has merged.
func (h *history) merge(from time.Time) {
	if from.Before(h.from) {
		h.from = from
	}
}

// isComplete reports whether no unknown quarantine can be in force.
func (h *history) isComplete(now time.Time) bool {
	return h.from.IsZero() || now.Sub(h.from) >= QuarantineTime
}

// age returns for how long the history reaches back, at most QuarantineTime.
func (h *history) age(now time.Time) time.Duration {
	if h.isComplete(now) {
		return QuarantineTime
	}
	return max(now.Sub(h.from), 0)
}
