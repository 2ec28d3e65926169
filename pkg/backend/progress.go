package backend

import "time"

// progressTimeout returns the progress timeout of the next search, which adapts to
// recent reply times; 0 means none. A fixed timeout mistakes a busy machine for a
// fault: with 80 ms and three runnable processes per core, healthy connections
// were closed and their requests repeated.
func (p *Pool) progressTimeout() time.Duration {
	if p.opts.ProgressTimeout <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replyTime.Timeout(p.opts.ProgressTimeout)
}

// recordReplyTime records how long a search took until its reply was complete or,
// on a new connection, until it failed.
func (p *Pool) recordReplyTime(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replyTime.Record(took)
}
