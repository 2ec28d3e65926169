package feed

import "sync/atomic"

// FullReads counts the complete reads by cause, from the store and from other instances. It is
// safe for concurrent use.
type FullReads struct {
	start, historyGone, newEra atomic.Int64
}

// Counts returns the number of complete reads by cause.
func (r *FullReads) Counts() map[string]int64 {
	return map[string]int64{
		string(readAtStart):     r.start.Load(),
		string(readHistoryGone): r.historyGone.Load(),
		string(readNewEra):      r.newEra.Load(),
	}
}

func (r *FullReads) count(cause readCause) {
	switch cause {
	case readHistoryGone:
		r.historyGone.Add(1)
	case readNewEra:
		r.newEra.Add(1)
	default:
		r.start.Add(1)
	}
}
