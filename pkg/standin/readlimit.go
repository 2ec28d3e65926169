package standin

import (
	"sync"
	"time"
)

// readLimit admits a number of calls in each second of the clock.
type readLimit struct {
	perSecond int64

	mu     sync.Mutex
	second int64 // guarded by mu; Unix time
	calls  int64 // guarded by mu; in that second
	peak   int64 // guarded by mu
}

func (l *readLimit) admit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second = second
		l.calls = 0
	}
	l.calls++
	l.peak = max(l.peak, l.calls)
	return l.perSecond <= 0 || l.calls <= l.perSecond
}

func (l *readLimit) peakPerSecond() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}
