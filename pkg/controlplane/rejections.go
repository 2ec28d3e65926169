package controlplane

import (
	"time"
)

const (
	// minRejectionBackoff is the time for which a version is not fetched again after
	// its first rejection. It is short so that an intact copy still takes effect in time
	// when the first copy was damaged in transit.
	minRejectionBackoff = 500 * time.Millisecond
	// maxRejectionBackoff bounds the backoff. The backoff doubles with each rejection
	// of the same version, because repeated fetches of an invalid document cost bandwidth.
	maxRejectionBackoff = 64 * time.Second
	// maxRejections bounds the number of blocked versions and, separately, that of
	// reported contents. The map that has reached it is cleared before an addition.
	maxRejections = 256
)

// fetchBlock keeps a rejected version from being fetched until a given time.
type fetchBlock struct {
	until   time.Time
	backoff time.Duration
}

// rejections records rejected documents: which versions must not be fetched for now,
// which rejections were logged, and the latest error of each key. It is not safe
// for concurrent use.
type rejections struct {
	blocked  map[Version]fetchBlock    // by announced version
	reported map[Version]struct{}      // by key and digest of the content; Revision is 0
	latest   map[string]*RejectedError // by key; removed when a document is accepted
}

func newRejections() *rejections {
	return &rejections{
		blocked:  make(map[Version]fetchBlock),
		reported: make(map[Version]struct{}),
		latest:   make(map[string]*RejectedError),
	}
}

// isBlocked reports whether the version must not be fetched yet after a rejection.
func (r *rejections) isBlocked(v Version, now time.Time) bool {
	block, ok := r.blocked[v]
	return ok && now.Before(block.until)
}

// blockFetch keeps an announced version from being fetched until its backoff ends.
func (r *rejections) blockFetch(announced Version, now time.Time) {
	if len(r.blocked) >= maxRejections {
		clear(r.blocked)
	}
	backoff := min(max(2*r.blocked[announced].backoff, minRejectionBackoff), maxRejectionBackoff)
	r.blocked[announced] = fetchBlock{until: now.Add(backoff), backoff: backoff}
}

// addIfNew records the content of a rejected document and reports whether it was not
// recorded before. The same document arrives from the service and from several
// peers, but its rejection is logged only once.
func (r *rejections) addIfNew(document Document) bool {
	content := Version{Key: document.Key, Digest: contentDigest(document.Data)}
	if _, ok := r.reported[content]; ok {
		return false
	}
	if len(r.reported) >= maxRejections {
		clear(r.reported)
	}
	r.reported[content] = struct{}{}
	return true
}

// reject records a rejected document and returns its *RejectedError. It logs the
// cause, with line and column where known, once for each content.
func (s *Store) reject(document Document, cause error) error {
	err := &RejectedError{Key: document.Key, Revision: document.Revision, Err: cause}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected.addIfNew(document) {
		s.log.Error("control document rejected", "key", document.Key, "revision", document.Revision, "cause", cause)
	}
	s.rejected.latest[document.Key] = err
	if document.Digest != "" {
		s.rejected.blockFetch(document.Version(), s.now())
	}
	return err
}

// latestRejection returns the latest rejection of a document of key, or nil when
// there was none since a document of this key was last accepted.
func (s *Store) latestRejection(key string) *RejectedError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected.latest[key]
}
