package oracle

import (
	"fmt"
	"sync"
	"time"
)

// BundleDelay is the time within which a published bundle takes effect on every
// instance.
const BundleDelay = 3 * time.Second

// BundleLog records when bundles were published, to check under which one
// requests were decided. It is safe for concurrent use.
type BundleLog struct {
	mu        sync.Mutex
	published []publication // guarded by mu; ascending versions
	hidden    bool          // guarded by mu
}

type publication struct {
	version int64
	at      time.Time // zero while hidden from the instances
}

// Published records a bundle.
func (l *BundleLog) Published(version int64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hidden {
		at = time.Time{}
	}
	l.published = append(l.published, publication{version, at})
}

// Hide tells that instances can't read what is published from now on, because
// the configuration service is down or stale. What was published less than
// BundleDelay ago may not have been read and is hidden too.
func (l *BundleLog) Hide(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hidden = true
	for i := range l.published {
		if at.Sub(l.published[i].at) < BundleDelay {
			l.published[i].at = time.Time{}
		}
	}
}

// Show ends Hide: what was hidden counts as published at the given time.
func (l *BundleLog) Show(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hidden = false
	for i := range l.published {
		if l.published[i].at.IsZero() {
			l.published[i].at = at
		}
	}
}

// Check returns the problem of an answer to a request sent at the given time.
// An answer that says its view is stale is no problem: it tells that nobody
// could confirm the bundle.
func (l *BundleLog) Check(answer Answer, sent time.Time) []Problem {
	required := l.required(sent)
	if answer.StaleView || answer.BundleVersion >= required {
		return nil
	}
	detail := fmt.Sprintf("decided under bundle %d, but %d was published more than %s before", answer.BundleVersion, required, BundleDelay)
	return []Problem{{StaleBundle, answer.RequestID, detail}}
}

// required returns the newest version that must be in effect.
func (l *BundleLog) required(sent time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var version int64
	for _, p := range l.published {
		if !p.at.IsZero() && sent.Sub(p.at) > BundleDelay {
			version = max(version, p.version)
		}
	}
	return version
}
