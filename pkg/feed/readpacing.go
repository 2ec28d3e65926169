package feed

import "time"

const (
	// readPause is the pause before the second complete read in a row. It doubles with each
	// further one, up to maxReadPause: two stores behind one address, or a source that never
	// has the history, must not cause a read in each step.
	readPause    = 200 * time.Millisecond
	maxReadPause = 10 * time.Second
	// readsForgottenAfter is the time without a complete read after which the next one is not
	// delayed.
	readsForgottenAfter = 30 * time.Second
)

// readPacing spaces the complete reads that an instance puts in force. Reads that fail are spaced
// like other calls.
type readPacing struct {
	reads  int // within readsForgottenAfter of each other
	lastAt time.Time
}

// nextAt returns the time before which everything is not read again.
func (p *readPacing) nextAt(now time.Time) time.Time {
	if p.reads == 0 || now.Sub(p.lastAt) > readsForgottenAfter {
		return now
	}
	return p.lastAt.Add(min(readPause<<min(p.reads-1, 10), maxReadPause))
}

func (p *readPacing) record(now time.Time) {
	if now.Sub(p.lastAt) > readsForgottenAfter {
		p.reads = 0
	}
	p.reads++
	p.lastAt = now
}
