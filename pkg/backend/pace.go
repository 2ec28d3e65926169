package backend

import "time"

const (
	// paceFactor is how many times the recent peak of the reply time a
	// connection may be silent. A fixed limit takes a busy machine for a fault:
	// with 80 ms and a load of three runnable processes per core, healthy
	// connections were closed and their requests repeated.
	paceFactor = 3
	// paceDecay lowers the peak with every faster reply.
	paceDecay = 0.98
)

// pace follows the recent peak of the reply time of one backend server. The
// pool's mutex guards it.
type pace struct {
	peak time.Duration
}

func (p *pace) record(took time.Duration) {
	p.peak = max(took, time.Duration(paceDecay*float64(p.peak)))
}

// limit returns the silence after which a connection is given up, at least the
// given one. Before the first reply it is unknown, and only the least applies.
func (p *pace) limit(least time.Duration) time.Duration {
	return max(least, paceFactor*p.peak)
}

// progressLimit returns the progress timeout of the next search.
func (p *Pool) progressLimit() time.Duration {
	if p.opts.ProgressTimeout <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.limit(p.opts.ProgressTimeout)
}

// replied records the time of a complete reply.
func (p *Pool) replied(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.record(took)
}
