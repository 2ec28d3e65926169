package feed

import "time"

const (
	// readPause is the pause before the second complete read in a row: two stores behind one
	// address, or a source that never has the history, must not cause a read in each step. It
	// doubles with each further read of the store, up to maxStoreReadPause.
	readPause = 200 * time.Millisecond
	// maxStoreReadPause bounds the time in which an instance without the history hears of no
	// change. The rest of maxViewDelay is for the read itself and for the instances that follow.
	maxStoreReadPause = 1 * time.Second
	// readsForgottenAfter is the time without a complete read after which the next one is not
	// delayed.
	readsForgottenAfter = 30 * time.Second
)

// maxViewDelay is the time within which a change reaches all instances that reach the store, or
// an instance that does. It leaves half of the 3 s in which a change has to take effect.
const maxViewDelay = 1500 * time.Millisecond

// readPacing spaces the complete reads that an instance puts in force. Reads that fail are spaced
// like other calls.
type readPacing struct {
	reads  int // within readsForgottenAfter of each other
	lastAt time.Time
}

// nextAt returns the time before which everything is not read again. Other instances pass on a
// complete read of the store by one of their own, so that the pause between two of these does not
// grow: the pauses of a reader and of its followers would add up.
func (p *readPacing) nextAt(now time.Time, fromStore bool) time.Time {
	switch {
	case p.reads == 0 || now.Sub(p.lastAt) > readsForgottenAfter:
		return now
	case !fromStore:
		return p.lastAt.Add(readPause)
	}
	return p.lastAt.Add(min(readPause<<min(p.reads-1, 10), maxStoreReadPause))
}

func (p *readPacing) record(now time.Time) {
	if now.Sub(p.lastAt) > readsForgottenAfter {
		p.reads = 0
	}
	p.reads++
	p.lastAt = now
}
