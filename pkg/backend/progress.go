package backend

import "time"

// progressLimit returns the progress timeout of the next search. A fixed limit
// takes a busy machine for a fault: with 80 ms and a load of three runnable
// processes per core, healthy connections were closed and their requests
// repeated.
func (p *Pool) progressLimit() time.Duration {
	if p.opts.ProgressTimeout <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.Timeout(p.opts.ProgressTimeout)
}

// replied records the time of a complete reply.
func (p *Pool) replied(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Record(took)
}
